/**
 * Turns the structured log on unless the operators have turned it off. The
 * logger looks at this variable once, when it is loaded, so this module has to
 * be imported before it.
 */
import process from "node:process";

process.env.ROARR_LOG ??= "true";
