/** Steps of `run_entry.feature`. */
import { strict as assert } from "node:assert";
import { type ChildProcess, spawn } from "node:child_process";
import { once } from "node:events";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import process from "node:process";
import { fileURLToPath } from "node:url";
import { After, Given, Then, When } from "@cucumber/cucumber";

/** State of one scenario. */
interface StartWorld {
  startFolder?: string;
  starting: ChildProcess;
  /** Code and signal with which the process ended. */
  startEnd?: readonly unknown[];
}

const program = fileURLToPath(new URL("./slow_start.test.js", import.meta.url));
/** Exit code of an entry that could not start, which is how the program ends. */
const failureExitCode = 1;
const settings = `instance: one
failure_domain: sapporo
callers: 127.0.0.1:1
readiness: 127.0.0.1:2
peers: 127.0.0.1:3
store: 127.0.0.1:4
`;

After(function (this: StartWorld): void {
  if (this.startFolder) rmSync(this.startFolder, { recursive: true });
});

Given(
  "an entry whose start takes a while",
  async function (this: StartWorld): Promise<void> {
    this.startFolder = mkdtempSync(join(tmpdir(), "entry-"));
    const path = join(this.startFolder, "settings.yaml");
    writeFileSync(path, settings);
    this.starting = spawn(process.execPath, [program, path], {
      stdio: ["ignore", "pipe", "inherit"],
    });
    assert.ok(this.starting.stdout);
    await once(this.starting.stdout, "data");
  },
);

When(
  "it gets SIGHUP while it starts",
  async function (this: StartWorld): Promise<void> {
    const ended = once(this.starting, "exit");
    this.starting.kill("SIGHUP");
    this.startEnd = await ended;
  },
);

Then("it goes on with its start", function (this: StartWorld): void {
  assert.deepEqual(this.startEnd, [failureExitCode, null]);
});
