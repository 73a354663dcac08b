/** Steps of `crashes.feature` on trials. */
import { strict as assert } from "node:assert";
import { Then, When } from "@cucumber/cucumber";
import {
  buildPartCall,
  type CrashStepsWorld,
  crashUnder,
  exchangeNews,
  pickInstances,
} from "./crash_world.test.ts";

const msPerSecond = 1_000;
const callsPerSecond = 4;

When(
  /^a call with "(.+)" runs as a trial at "(.+)" and (completes|crashes an endpoint|finds no endpoint)$/,
  async function (
    this: CrashStepsWorld,
    parts: string,
    name: string,
    end: string,
  ): Promise<void> {
    const [instance] = pickInstances(this, name);
    assert.ok(instance);
    const call = buildPartCall(this, parts);
    assert.equal(instance.watch.findVerdict(call), undefined);
    const second = buildPartCall(this, parts);
    assert.ok(instance.watch.findVerdict(second), "one trial at a time");
    if (end === "completes") {
      instance.watch.recordSuccess(call);
      await exchangeNews(this);
    } else if (end === "crashes an endpoint") {
      await crashUnder(this, new Map([[instance, [call]]]));
    }
  },
);

Then(
  "at most {int} calls with {string} may run within {int} s at all instances, while it is not known how they end",
  async function (
    this: CrashStepsWorld,
    most: number,
    parts: string,
    seconds: number,
  ): Promise<void> {
    let tried = 0;
    for (let each = 0; each < seconds * callsPerSecond; each++) {
      for (const { watch } of this.instances) {
        const call = buildPartCall(this, parts);
        if (watch.findVerdict(call)) continue;
        tried += 1;
        watch.recordSend(call);
      }
      await this.crashClock?.tickAsync(msPerSecond / callsPerSecond);
    }
    assert.ok(tried > 0, "no call is tried");
    assert.ok(tried <= most, `${tried} calls are tried`);
  },
);
