/** Steps of `judge_repeat.feature`. */
import { strict as assert } from "node:assert";
import { After, Given, Then } from "@cucumber/cucumber";
import { pauseClock, type PausedClock } from "@trefoildoor/testing";
import fc from "fast-check";
import {
  createUsualTimes,
  type UsualTimes,
} from "../../process/usual_times/index.ts";
import { judgeRepeat, RepeatVerdict } from "./judge_repeat.ts";

/** State of one scenario. */
interface RepeatWorld {
  repeatClock: PausedClock;
  times: UsualTimes;
}

const propertyRun = { seed: 44, numRuns: 5_000 };
const work = { service: "service", route: "route" };

After(function (this: RepeatWorld): void {
  this.repeatClock?.uninstall();
});

Then(
  /^a call with a goal of (\d+) ms, a usual time of (-|\d+) ms, sent (\d+) ms ago and with (\d+) ms left is judged "(.+)"$/,
  (
    goal: string,
    usual: string,
    since: string,
    left: string,
    verdict: string,
  ) => {
    const facts = {
      goalMs: Number(goal),
      usualMs: usual === "-" ? undefined : Number(usual),
      sinceSendMs: Number(since),
      leftMs: Number(left),
      hasEndpoint: true,
      isPermitted: true,
    };
    assert.equal(judgeRepeat(facts), verdict);
  },
);

Then(
  "no facts lead to a repeat without permission, endpoint and time, or before answers usually come",
  () => {
    const ms = fc.oneof(
      fc.double({ min: -10, max: 3_000 }),
      fc.constantFrom(NaN, 0, Infinity),
    );
    const facts = fc.record({
      goalMs: ms,
      usualMs: fc.option(fc.double({ min: 0, max: 3_000, noNaN: true }), {
        nil: undefined,
      }),
      sinceSendMs: ms,
      leftMs: ms,
      hasEndpoint: fc.boolean(),
      isPermitted: fc.boolean(),
    });
    let repeats = 0;
    fc.assert(
      fc.property(facts, (given) => {
        if (judgeRepeat(given) !== RepeatVerdict.Repeat) return;
        repeats += 1;
        const { goalMs, usualMs = goalMs, sinceSendMs, leftMs } = given;
        assert.ok(given.hasEndpoint && given.isPermitted);
        assert.ok(leftMs > 0 && leftMs >= usualMs);
        assert.ok(sinceSendMs >= usualMs * 1.5);
        assert.ok(!(sinceSendMs < goalMs * 1.5));
      }),
      propertyRun,
    );
    assert.ok(repeats > 0);
  },
);

Given(
  "{string} answered {int} times in {int} ms and {string} {int} times in {int} ms",
  function (
    this: RepeatWorld,
    one: string,
    ones: number,
    oneMs: number,
    other: string,
    others: number,
    otherMs: number,
  ): void {
    this.repeatClock = pauseClock();
    this.times = createUsualTimes();
    for (let each = 0; each < ones; each++) {
      this.times.record(work, { endpoint: one, tookMs: oneMs });
    }
    for (let each = 0; each < others; each++) {
      this.times.record(work, { endpoint: other, tookMs: otherMs });
    }
  },
);

Then(
  "the usual time is {int} ms without {string} and {int} ms without {string}",
  function (
    this: RepeatWorld,
    ms: number,
    name: string,
    otherMs: number,
    other: string,
  ): void {
    assert.equal(this.times.getUsualMs(work, { except: name }), ms);
    assert.equal(this.times.getUsualMs(work, { except: other }), otherMs);
  },
);

Then(
  "no usual time is known {int} ms later",
  function (this: RepeatWorld, ms: number): void {
    this.repeatClock.tick(ms);
    assert.equal(this.times.getUsualMs(work, { except: "" }), undefined);
  },
);
