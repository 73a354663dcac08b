/**
 * Enables the structured log unless `ROARR_LOG` is already set. The logger
 * reads this variable once, when it is loaded, so this module must be imported
 * before it.
 */
import process from "node:process";

process.env.ROARR_LOG ??= "true";
