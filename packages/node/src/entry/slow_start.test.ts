/** Program for tests: an entry whose start takes a while, and which prints "starting" when it begins. */
import { argv } from "node:process";
import type { EntryPlatform } from "./platform.ts";
import { runEntry } from "./run_entry.ts";

const startDelayMs = 500;

const platform = {
  openTopics(): never {
    console.log("starting");
    // Blocks the event loop, as loading and opening everything does.
    Atomics.wait(
      new Int32Array(new SharedArrayBuffer(4)),
      0,
      0,
      startDelayMs,
    );
    throw new Error("start ends here");
  },
} as unknown as EntryPlatform;

argv.splice(2, Infinity, "run", "--settings", argv[2] ?? "");
runEntry({
  name: "slow-start",
  version: "0.0.0",
  platform,
  settingsVariable: "UNUSED",
});
