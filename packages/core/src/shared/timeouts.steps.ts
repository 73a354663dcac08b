/** Steps of `timeouts.feature`. */
import { strict as assert } from "node:assert";
import { getEventListeners } from "node:events";
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
