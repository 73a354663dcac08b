/** Steps of `timeouts.feature`. */
import { strict as assert } from "node:assert";
import { spawn } from "node:child_process";
import { getEventListeners, once } from "node:events";
import { connect } from "node:net";
import process from "node:process";
import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";
import { Then, When } from "@cucumber/cucumber";
import { runWithTimeout } from "./index.ts";

/** State of one scenario. */
interface TimeoutsWorld {
  outer: AbortController;
  tookMs: number;
  reason: string;
}

const collectIntervalMs = 5;
/** Program of another process that answers each connection's first bytes after some time, in ms; it prints its port. */
const answeringProgram = `
  const server = require("node:net").createServer((socket) => {
    socket.on("error", () => undefined);
    socket.once("data", (data) =>
      setTimeout(() => socket.end("answer"), Number(data)));
  });
  server.listen(0, "127.0.0.1", () => console.log(server.address().port));
`;

function collectGarbage(): void {
  setFlagsFromString("--expose_gc");
  const collect = runInNewContext("gc") as () => void;
  collect();
}

function waitForAbort(signal: AbortSignal): Promise<never> {
  return new Promise((_, reject) =>
    signal.addEventListener("abort", () => reject(signal.reason))
  );
}

async function runUnanswered(
  world: TimeoutsWorld,
  timeoutMs: number,
): Promise<void> {
  const { signal } = world.outer;
  const startMs = performance.now();
  const limit = new Promise<Error>((resolve) =>
    setTimeout(() => resolve(new Error("call has not ended")), 1_500).unref()
  );
  const ended = runWithTimeout(waitForAbort, { timeoutMs, signal })
    .catch((error: Error) => error);
  world.reason = (await Promise.race([ended, limit])).name;
  world.tookMs = performance.now() - startMs;
}

When(
  "a call without an answer has {int} ms, and memory is collected meanwhile",
  async function (this: TimeoutsWorld, timeoutMs: number): Promise<void> {
    this.outer = new AbortController();
    const timer = setInterval(collectGarbage, collectIntervalMs);
    await runUnanswered(this, timeoutMs);
    clearInterval(timer);
  },
);

When(
  "a call without an answer has {int} ms, and its signal aborts",
  async function (this: TimeoutsWorld, timeoutMs: number): Promise<void> {
    this.outer = new AbortController();
    setTimeout(() => this.outer.abort(), collectIntervalMs);
    await runUnanswered(this, timeoutMs);
    assert.deepEqual(getEventListeners(this.outer.signal, "abort"), []);
  },
);

When(
  "{int} calls with the same signal are answered",
  async function (this: TimeoutsWorld, count: number): Promise<void> {
    this.outer = new AbortController();
    const { signal } = this.outer;
    for (let each = 0; each < count; each++) {
      await runWithTimeout(() => Promise.resolve(), { timeoutMs: 10, signal });
    }
  },
);

Then(
  "the call has ended with {string} within {int} ms",
  function (this: TimeoutsWorld, reason: string, mostMs: number): void {
    assert.equal(this.reason, reason);
    assert.ok(this.tookMs <= mostMs, `${this.tookMs} ms`);
  },
);

Then("no listener is left on the signal", function (
  this: TimeoutsWorld,
): void {
  assert.deepEqual(getEventListeners(this.outer.signal, "abort"), []);
});

When(
  "a call over the network has {int} ms, is answered after {int} ms, and the process is paused for {int} ms",
  async function (
    this: TimeoutsWorld,
    timeoutMs: number,
    answerMs: number,
    pausedMs: number,
  ): Promise<void> {
    const other = spawn(process.execPath, ["-e", answeringProgram], {
      stdio: ["ignore", "pipe", "inherit"],
    });
    try {
      const [port] = await once(other.stdout, "data");
      const socket = connect(Number(String(port)), "127.0.0.1");
      await once(socket, "connect");
      const called = runWithTimeout(async (signal) => {
        socket.write(String(answerMs));
        const [data] = await once(socket, "data", { signal });
        return String(data);
      }, { timeoutMs }).catch((error: Error) => error.name);
      await new Promise((resolve) => setTimeout(resolve, answerMs / 2));
      // After this phase of the event loop come timers, before connections.
      await new Promise((resolve) => setImmediate(resolve));
      pauseEventLoop(pausedMs);
      this.reason = await called;
      socket.destroy();
    } finally {
      other.kill();
    }
  },
);

function pauseEventLoop(ms: number): void {
  const endMs = performance.now() + ms;
  while (performance.now() < endMs);
}

Then("the call is answered", function (this: TimeoutsWorld): void {
  assert.equal(this.reason, "answer");
});
