/** Steps of `digest_delays.feature`. */
import { strict as assert } from "node:assert";
import { After, Given, Then, When } from "@cucumber/cucumber";
import { pauseClock, type PausedClock } from "@trefoildoor/testing";
import {
  createDigestDelays,
  type DigestDelay,
  type DigestDelays,
} from "./index.ts";

/** State of one scenario. */
interface DelayWorld {
  delayClock?: PausedClock;
  digestDelays: DigestDelays;
  clockOffsetMs: number;
  digestStart: string;
  measured: DigestDelay[];
}

const second = 1_000;
/** Tolerance for the drift allowed to the difference of the clocks, in ms. */
const toleranceMs = 300;

After(function (this: DelayWorld): void {
  this.delayClock?.uninstall();
});

function parseNumbers(text: string): readonly number[] {
  return text.split(", ").map(Number);
}

Given(
  "digests of an instance whose clock differs by {int} ms",
  function (this: DelayWorld, offsetMs: number): void {
    this.delayClock = pauseClock();
    this.digestDelays = createDigestDelays();
    this.clockOffsetMs = offsetMs;
    this.digestStart = "first";
  },
);

When(
  "digests take {string} ms",
  function (
    this: DelayWorld,
    delaysMs: string,
  ): void {
    this.measured = parseNumbers(delaysMs).map((delayMs) => {
      this.delayClock?.tick(second);
      return this.digestDelays.measure({
        name: "a1",
        start: this.digestStart,
        sentMs: performance.now() + this.clockOffsetMs - delayMs,
      }, performance.now());
    });
  },
);

When("a digest does not say when it was sent", function (
  this: DelayWorld,
): void {
  this.measured = [
    this.digestDelays.measure(
      { name: "a1", start: this.digestStart },
      performance.now(),
    ),
  ];
});

When(
  "the instance starts again with a clock that differs by {int} ms",
  function (this: DelayWorld, offsetMs: number): void {
    this.digestStart = "second";
    this.clockOffsetMs = offsetMs;
  },
);

When(
  "the clock of the instance stands still for {int} ms",
  function (this: DelayWorld, ms: number): void {
    this.clockOffsetMs -= ms;
  },
);

When("{int} s pass between digests", function (
  this: DelayWorld,
  seconds: number,
): void {
  this.delayClock?.tick(seconds * second);
});

Then(
  "their delays are {string} ms",
  function (
    this: DelayWorld,
    expectedMs: string,
  ): void {
    const expected = parseNumbers(expectedMs);
    const wrong = this.measured.filter(({ ms }, index) =>
      Math.abs(ms - (expected[index] ?? 0)) > toleranceMs
    );
    assert.deepEqual(wrong, []);
  },
);

When("{int} digests that took {int} ms arrive together", function (
  this: DelayWorld,
  count: number,
  delayMs: number,
): void {
  this.measured = Array.from(
    { length: count },
    () =>
      this.digestDelays.measure({
        name: "a1",
        start: this.digestStart,
        sentMs: performance.now() + this.clockOffsetMs - delayMs,
      }, performance.now()),
  );
});

Then("{int} of their delays are reliable", function (
  this: DelayWorld,
  count: number,
): void {
  const reliable = this.measured.filter((each) => each.reliable);
  assert.equal(reliable.length, count);
});
