/** Steps of `return_times.feature`. */
import { strict as assert } from "node:assert";
import { After, Given, Then, When } from "@cucumber/cucumber";
import { pauseClock, type PausedClock } from "@trefoildoor/testing";
import fc from "fast-check";
import { createReturnTimes } from "../../process/returns/index.ts";
import {
  type OverloadOptions,
  type OverloadResult,
  runOverload,
} from "./return_times.test.ts";

/** State of one scenario. */
interface ReturnWorld {
  returnClock?: PausedClock;
  overload: Omit<OverloadOptions, "turns">;
  fixed: OverloadResult;
  turns: OverloadResult;
}

const propertyRun = { seed: 7_549, numRuns: 300 };
const longestMs = 5_000;

After(function (this: ReturnWorld): void {
  this.returnClock?.uninstall();
});

Given(
  /^(\d+) instances and (\d+) (?:endpoints that refuse|engines that queue (\d+) ms), with callers who come back when they were told$/,
  function (
    this: ReturnWorld,
    instances: string,
    endpoints: string,
    maxQueueMs: string | null,
  ): void {
    this.returnClock = pauseClock();
    this.overload = {
      clock: this.returnClock,
      instances: Number(instances),
      endpoints: Number(endpoints),
      maxQueueMs: Number(maxQueueMs ?? 0),
    };
  },
);

When(
  "twice as many calls come as there is room for",
  function (this: ReturnWorld): void {
    this.fixed = runOverload({ ...this.overload, turns: false });
    this.turns = runOverload({ ...this.overload, turns: true });
  },
);

Then(
  "at most {float} of the tries are refused again that are with a fixed time",
  function (this: ReturnWorld, most: number): void {
    const { fixed, turns } = this;
    assert.equal(turns.offered, fixed.offered);
    assert.ok(fixed.refusedAgain > fixed.offered, "callers came back in vain");
    const share = turns.refusedAgain / fixed.refusedAgain;
    assert.ok(share <= most, String(share));
    assert.ok(
      turns.refusedAgain / turns.returned < fixed.refusedAgain / fixed.returned,
    );
  },
);

Then(
  "no less is served, and {float} of the work is done under load that is with a fixed time",
  function (this: ReturnWorld, least: number): void {
    assert.ok(this.turns.served >= this.fixed.served);
    assert.ok(this.turns.workMs >= this.fixed.workMs * least);
  },
);

Then(
  "any refused calls get times within their bounds, in order, and spaced by the room",
  function (this: ReturnWorld): void {
    const clock = this.returnClock = pauseClock();
    const call = fc.record({
      firstMs: fc.integer({ min: 1, max: 9_000 }),
      gapMs: fc.double({ min: 0, max: 20_000, noNaN: true }),
      leftMs: fc.integer({ min: 0, max: 60_000 }),
      pauseMs: fc.integer({ min: 0, max: 900 }),
    });
    const property = fc.property(
      fc.array(call, { maxLength: 60 }),
      fc.integer({ min: 1, max: 400 }),
      fc.double({ min: 0, max: 0.99, noNaN: true }),
      (calls, gapMs, random) => {
        const mixed = createReturnTimes(() => random);
        for (const { pauseMs, ...room } of calls) {
          const waitMs = mixed.take("service", room);
          assert.ok(Number.isInteger(waitMs) && waitMs >= room.firstMs);
          assert.ok(waitMs <= Math.max(longestMs, room.firstMs * 2));
          clock.tick(pauseMs);
        }
        const even = createReturnTimes(() => random);
        const room = { firstMs: 250, gapMs, leftMs: Infinity };
        const turns = Math.floor((longestMs - room.firstMs) / gapMs);
        let lastMs = 0;
        for (let each = 0; each < turns; each++) {
          const waitMs = even.take("service", room);
          assert.ok(waitMs >= lastMs);
          assert.ok(waitMs >= room.firstMs + each * gapMs);
          assert.ok(waitMs <= room.firstMs + (each + 1) * gapMs + 1);
          lastMs = waitMs;
        }
        assert.equal(even.take("another", { ...room, gapMs: 0 }), 250);
      },
    );
    fc.assert(property, propertyRun);
  },
);

Then(
  "a caller whose turn is beyond a third of its time is told it and takes none",
  function (): void {
    const returns = createReturnTimes(() => 0);
    const room = { firstMs: 250, gapMs: 1_000, leftMs: 3_000 };
    const told = [1, 2, 3].map(() => returns.take("service", room));
    assert.deepEqual(told, [250, 1_250, 1_250]);
  },
);
