/** Steps of `early_repeats.feature`. */
import { strict as assert } from "node:assert";
import { Given, Then, When } from "@cucumber/cucumber";
import { pauseClock } from "@trefoildoor/testing";
import { type Behaviour, mayHaveRun } from "./fake_endpoints.test.ts";
import {
  buildCall,
  type ForwardWorld,
  prepareWorld,
  startCall,
} from "./forward_world.test.ts";
import { forwardEvents } from "./index.ts";

/** State of one scenario. */
interface EarlyWorld extends ForwardWorld {
  /** Verdicts of the logged calls by the call's id. */
  verdicts: [call: unknown, verdict: unknown][];
  /** Status and time of each call, in ms. */
  results: { readonly status: number | undefined; readonly tookMs: number }[];
}

/** Calls that are scripted for an endpoint: more than any scenario sends. */
const scripted = 500;
/** Longer than any call of these scenarios. */
const lastCallMs = 3_000;

Given(
  "a route with a goal of {int} ms and a timeout of {int} ms over {int} endpoints",
  function (
    this: EarlyWorld,
    goalMs: number,
    timeoutMs: number,
    count: number,
  ): void {
    this.forwardClock = pauseClock();
    this.verdicts = [];
    this.results = [];
    const names = Array.from({ length: count }, (_, index) => `e${index + 1}`);
    prepareWorld(this, "idempotent", { names, most: 2, goalMs, timeoutMs });
    this.otherParts = {
      logEvent: ({ number }, values) => {
        if (number !== forwardEvents.overdue.number) return;
        this.verdicts.push([values?.["call"], values?.["verdict"]]);
      },
    };
  },
);

function setScript(
  world: EarlyWorld,
  name: string,
  { behaviour }: { readonly behaviour: Behaviour },
): void {
  world.fake.scripts.set(name, Array<Behaviour>(scripted).fill(behaviour));
}

Given(
  "all endpoints answer after {int} ms",
  function (this: EarlyWorld, ms: number): void {
    for (const { name } of this.endpoints.listAll()) {
      setScript(this, name, { behaviour: `after ${ms} ms` });
    }
  },
);

Given("{string} is silent", function (this: EarlyWorld, name: string): void {
  setScript(this, name, { behaviour: "silent" });
});

Given("{int} repeats are permitted", function (
  this: EarlyWorld,
  repeats: number,
): void {
  this.repeats = repeats;
});

Given("the other endpoints have answered in {int} ms", function (
  this: EarlyWorld,
  tookMs: number,
): void {
  for (let each = 0; each < 5; each++) {
    this.usualTimes.record(
      { service: "service", route: "route" },
      { endpoint: "e2", tookMs },
    );
  }
});

Given("the caller leaves when a permission is taken", function (
  this: EarlyWorld,
): void {
  this.otherParts = {
    ...this.otherParts,
    budget: {
      recordCall: () => undefined,
      consumeRepeat: () => {
        this.repeats = (this.repeats ?? 0) - 1;
        this.caller.leave();
        return true;
      },
      returnRepeat: () => void (this.repeats = (this.repeats ?? 0) + 1),
    },
  };
});

When(
  "{int} calls come at intervals of {int} ms",
  async function (this: EarlyWorld, calls: number, ms: number): Promise<void> {
    const ended: Promise<void>[] = [];
    for (let each = 0; each < calls; each++) {
      const call = buildCall({
        id: `${this.results.length}.${each}`,
        waitMs: 3_000,
      });
      startCall(this, call);
      const { caller } = this;
      ended.push(this.whenEnded.then(() => {
        const tookMs = performance.now() - call.receivedMs;
        this.results.push({ status: caller.status, tookMs });
      }));
      await this.forwardClock?.tickAsync(ms);
    }
    await this.forwardClock?.tickAsync(lastCallMs);
    await Promise.all(ended);
  },
);

Then("at least {int} of the calls are served", function (
  this: EarlyWorld,
  least: number,
): void {
  const served = this.results.filter(({ status }) => status === 200).length;
  assert.ok(served >= least, `${served} of ${this.results.length}`);
});

Then("at most {int} runs were begun", function (
  this: EarlyWorld,
  most: number,
): void {
  const runs = this.fake.sends.filter(mayHaveRun).length;
  assert.ok(runs <= most, String(runs));
});

Then("no call took longer than {int} ms", function (
  this: EarlyWorld,
  ms: number,
): void {
  const longest = Math.max(...this.results.map(({ tookMs }) => tookMs));
  assert.ok(longest <= ms, String(longest));
});

Then("{int} repeats are left", function (
  this: EarlyWorld,
  repeats: number,
): void {
  // A permission that was refused is counted below 0.
  assert.equal(Math.max(this.repeats ?? 0, 0), repeats);
});

Then("each late call is logged once, with the verdict {string}", function (
  this: EarlyWorld,
  verdict: string,
): void {
  const calls = this.verdicts.map(([call]) => call);
  assert.ok(calls.length > 0);
  assert.equal(new Set(calls).size, calls.length);
  for (const [call, given] of this.verdicts) {
    assert.equal(given, verdict, String(call));
  }
});
