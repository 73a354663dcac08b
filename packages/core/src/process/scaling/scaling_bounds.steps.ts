/** Steps of `scaling.feature` on what orders must not do. */
import { strict as assert } from "node:assert";
import { Given, Then, When } from "@cucumber/cucumber";
import fc from "fast-check";
import { chooseUse } from "./index.ts";
import {
  buildDomains,
  limits,
  planNeeded,
  type ScalingWorld,
  startScaler,
} from "./scaling.steps.ts";

const propertyRun = { seed: 5_048, numRuns: 300 };

Then(
  "for any prompt and goal, the mean wait at the chosen use and the prompt itself take the goal at most",
  function (): void {
    const times = fc.record({
      promptMs: fc.integer({ min: 1, max: 2_000 }),
      goalMs: fc.integer({ min: 1, max: 5_000 }),
    });
    fc.assert(
      fc.property(times, ({ promptMs, goalMs }) => {
        const use = chooseUse({ promptMs, goalMs });
        const waitMs = use / (1 - use) * promptMs / 2;
        // One that leaves less time than half its own cannot be helped by more engines.
        const isShort = goalMs - promptMs >= promptMs / 2;
        return use > 0 && use < 1 &&
          (!isShort || waitMs + promptMs <= goalMs * 1.001);
      }),
      propertyRun,
    );
  },
);

Then(
  "for any need and price the plan leaves what is needed without any one domain's reclaimable endpoints",
  function (): void {
    fc.assert(
      fc.property(anyNeed, ({ needed, dry, reclaimablePrice }) => {
        const plan = planAny(needed, { dry, reclaimablePrice });
        const total = countAll(plan);
        return plan.every(({ reclaimable }) => total - reclaimable >= needed);
      }),
      propertyRun,
    );
  },
);

Then("it costs no more than endpoints that stay", function (): void {
  fc.assert(
    fc.property(anyNeed, ({ needed, dry, reclaimablePrice }) => {
      const plan = planAny(needed, { dry, reclaimablePrice });
      const cost = plan.reduce(
        (sum, each) =>
          sum + each.regular + each.reclaimable * (reclaimablePrice ?? 0),
        0,
      );
      // Each domain's number is whole.
      return cost <= Math.max(needed, 4) + 1;
    }),
    propertyRun,
  );
});

const anyNeed = fc.record({
  needed: fc.integer({ min: 1, max: 150 }),
  dry: fc.integer({ min: 0, max: 4 }),
  reclaimablePrice: fc.option(fc.double({ min: 0.05, max: 1.2, noNaN: true }), {
    nil: undefined,
  }),
});

function planAny(
  needed: number,
  { dry, reclaimablePrice }: {
    readonly dry: number;
    readonly reclaimablePrice: number | undefined;
  },
): ReturnType<typeof planNeeded> {
  return planNeeded(needed, {
    limits: { ...limits, maxEndpoints: 400, reclaimablePrice },
    domains: buildDomains(dry),
  });
}

function countAll(plan: ReturnType<typeof planNeeded>): number {
  return plan.reduce(
    (sum, { regular, reclaimable }) => sum + regular + reclaimable,
    0,
  );
}

When("another instance takes over the claim", function (
  this: ScalingWorld,
): void {
  this.holder = "i2";
  startScaler(this);
});

When(
  "another instance, which reports usage first, takes over the claim",
  function (this: ScalingWorld): void {
    assert.ok(this.record);
    this.holder = "i2";
    const fence = this.record.fence + 1;
    this.record = { ...this.record, holder: this.holder, fence };
    startScaler(this);
  },
);

When(
  "the same instance after a new start takes over the claim",
  function (this: ScalingWorld): void {
    startScaler(this);
  },
);

Given("at most {int} endpoints in a domain", function (
  this: ScalingWorld,
  most: number,
): void {
  this.limits = { ...limits, maxEndpoints: most };
});

When("the counters of some instances are missing", function (
  this: ScalingWorld,
): void {
  this.isWhole = false;
});

When("all endpoints are lost", function (this: ScalingWorld): void {
  this.endpoints = [];
});

Then("no order took a domain above its limit", function (
  this: ScalingWorld,
): void {
  assert.ok(
    this.mostOrdered <= this.limits.maxEndpoints,
    `${this.mostOrdered}`,
  );
});

Then("the operator does not count as unreachable", function (
  this: ScalingWorld,
): void {
  assert.equal(this.pause.countSilences(), 0);
  assert.ok(this.pause.isOver());
});

When("the next {int} orders are lost", function (
  this: ScalingWorld,
  count: number,
): void {
  this.lost = count;
});

When("another instance holds the claim", function (this: ScalingWorld): void {
  this.isHolder = false;
});
