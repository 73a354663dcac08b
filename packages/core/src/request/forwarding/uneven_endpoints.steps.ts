/** Steps of `uneven_endpoints.feature`. */
import { strict as assert } from "node:assert";
import { After, Given, Then, When } from "@cucumber/cucumber";
import { pauseClock, type PausedClock } from "@trefoildoor/testing";
import {
  buildFleet,
  measureShare,
  type UnevenFleet,
} from "./uneven_endpoints.test.ts";

/** State of one scenario. */
interface UnevenWorld {
  unevenClock: PausedClock;
  uneven: UnevenFleet;
  oracle: UnevenFleet;
  lateShare: number;
  /** Share of the calls by endpoint. */
  shares: readonly number[];
  oracleShare: number;
}

const speeds = [0.6, 1, 1.6];
/** Time until the instances know the endpoints, in ms. */
const learningMs = 3_000;

After(function (this: UnevenWorld): void {
  this.unevenClock?.uninstall();
});

Given(
  /^(\d+) instances and (\d+) endpoints of (one speed|three speeds), ([\d.]+) of whose room is used$/,
  function (
    this: UnevenWorld,
    instances: string,
    endpoints: string,
    kind: string,
    use: string,
  ): void {
    this.unevenClock = pauseClock();
    const options = {
      clock: this.unevenClock,
      instances: Number(instances),
      slowness: Array.from(
        { length: Number(endpoints) },
        (_, index) => kind === "one speed" ? 1 : speeds[index % 3] ?? 1,
      ),
      use: Number(use),
    };
    this.uneven = buildFleet(options);
    this.oracle = buildFleet({ ...options, instances: 1, oracle: true });
  },
);

Given(
  "every {int}th endpoint always states that it is full and 4 times slower",
  function (this: UnevenWorld, every: number): void {
    for (const [index, each] of this.uneven.endpoints.entries()) {
      each.lies = index % every === 0;
    }
  },
);

When("they run for {int} ms", function (this: UnevenWorld, ms: number): void {
  // One after the other, as the clock goes on for both.
  this.uneven.run(learningMs);
  this.lateShare = this.uneven.run(ms);
  this.shares = this.uneven.endpoints.map((_, index) =>
    measureShare(this.uneven, index, { ms })
  );
  this.oracle.run(learningMs);
  this.oracleShare = this.oracle.run(ms);
});

When(
  /^(all endpoints|endpoint \d+) (?:turns? 4 times slower|(recovers)) and (\d+) ms pass$/,
  function (
    this: UnevenWorld,
    which: string,
    recovers: string | null,
    ms: string,
  ): void {
    if (!recovers) this.uneven.run(learningMs);
    for (const [index, each] of this.uneven.endpoints.entries()) {
      if (which !== "all endpoints" && which !== `endpoint ${index}`) continue;
      each.slowness = recovers ? 1 : 4;
    }
    this.uneven.run(Number(ms));
  },
);

When(
  "instance {int} learns that endpoint {int} has a new process",
  function (this: UnevenWorld, instance: number, endpoint: number): void {
    this.uneven.instances[instance]?.capacities.forget(`e${endpoint}`);
  },
);

Then(
  "at most {float} of the calls are late, and none more than {float} with an oracle",
  function (this: UnevenWorld, most: number, oracle: number): void {
    assert.ok(this.oracleShare <= oracle, String(this.oracleShare));
    assert.ok(this.lateShare <= most, String(this.lateShare));
  },
);

Then(
  "no endpoint gets more than {float} times the mean of the calls",
  function (this: UnevenWorld, most: number): void {
    const part = Math.max(...this.shares) * this.shares.length;
    assert.ok(part <= most, String(part));
  },
);

Then(
  /^in (\d+) ms it gets at (most|least) ([\d.]+) times the mean of the calls$/,
  function (this: UnevenWorld, ms: string, bound: string, times: string): void {
    this.uneven.run(Number(ms));
    const part = measureShare(this.uneven, 1, { ms: Number(ms) }) *
      this.uneven.endpoints.length;
    const holds = bound === "most"
      ? part <= Number(times)
      : part >= Number(times);
    assert.ok(holds, String(part));
  },
);

Then(
  "no instance holds an endpoint to be {float} times slower than the others",
  function (this: UnevenWorld, most: number): void {
    for (const { capacities } of this.uneven.instances) {
      for (const { endpoint } of this.uneven.endpoints) {
        const slowness = capacities.getSlowness(endpoint);
        assert.ok(slowness < most, `${endpoint.name}: ${slowness}`);
      }
    }
  },
);

Then(
  /^(?:after (\d+) ms without calls )?instance (\d+) holds endpoint (\d+) to be ([\d.]+) to ([\d.]+) times slower$/,
  function (
    this: UnevenWorld,
    ms: string | null,
    instance: string,
    index: string,
    least: string,
    most: string,
  ): void {
    this.unevenClock.tick(Number(ms ?? 0));
    const endpoint = this.uneven.endpoints[Number(index)]?.endpoint;
    assert.ok(endpoint);
    const slowness = this.uneven.instances[Number(instance)]?.capacities
      .getSlowness(endpoint) ?? 0;
    assert.ok(
      slowness >= Number(least) && slowness <= Number(most),
      String(slowness),
    );
  },
);
