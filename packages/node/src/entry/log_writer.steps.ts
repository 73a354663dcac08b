/** Steps of `log_writer.feature`. */
import { strict as assert } from "node:assert";
import { execFileSync } from "node:child_process";
import {
  closeSync,
  constants,
  mkdtempSync,
  openSync,
  readSync,
  rmSync,
} from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { After, Then, When } from "@cucumber/cucumber";
import { createLogWriter, type LogWriter } from "./log_writer.ts";

/** State of one scenario. */
interface WriterWorld {
  pipeFolder?: string;
  pipe: number;
  writer: LogWriter;
  tookMs: number;
}

After(function (this: WriterWorld): void {
  if (this.pipeFolder === undefined) return;
  closeSync(this.pipe);
  rmSync(this.pipeFolder, { recursive: true });
});

/** Opens a pipe that is readable and writable, so that opening it never waits. */
function openPipe(world: WriterWorld): void {
  world.pipeFolder = mkdtempSync(join(tmpdir(), "trefoildoor-"));
  const path = join(world.pipeFolder, "pipe");
  execFileSync("mkfifo", [path]);
  world.pipe = openSync(path, constants.O_RDWR | constants.O_NONBLOCK);
  world.writer = createLogWriter(world.pipe);
}

When("{int} lines are written to a pipe that is read", async function (
  this: WriterWorld,
  lines: number,
): Promise<void> {
  openPipe(this);
  for (let line = 0; line < lines; line++) this.writer.write(`line ${line}`);
  await this.writer.flush();
});

When("{int} lines are written to a pipe that nobody reads", function (
  this: WriterWorld,
  lines: number,
): void {
  openPipe(this);
  const startMs = performance.now();
  for (let line = 0; line < lines; line++) {
    this.writer.write("x".repeat(200));
  }
  this.tookMs = performance.now() - startMs;
});

Then("the reader gets {int} lines in order", function (
  this: WriterWorld,
  lines: number,
): void {
  const bytes = Buffer.alloc(65_536);
  const count = readSync(this.pipe, bytes);
  const expected = Array.from({ length: lines }, (_, line) => `line ${line}\n`);
  assert.equal(bytes.toString("utf8", 0, count), expected.join(""));
});

Then("writing took less than {int} ms", function (
  this: WriterWorld,
  ms: number,
): void {
  assert.ok(this.tookMs < ms, `${this.tookMs} ms`);
});

Then("some lines were dropped and counted", function (
  this: WriterWorld,
): void {
  assert.ok(this.writer.countDropped() > 0);
});
