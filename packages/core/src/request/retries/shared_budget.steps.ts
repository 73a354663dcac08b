/** Steps of `shared_budget.feature`: the bound that all instances' budgets keep together. */
import { strict as assert } from "node:assert";
import { After, Given, Then, When } from "@cucumber/cucumber";
import { pauseClock, type PausedClock } from "@trefoildoor/testing";
import fc from "fast-check";
import { createSharedBudget, type SharedBudget } from "./index.ts";

/** State of one scenario. */
interface SharedBudgetWorld {
  budgetClock?: PausedClock;
  budget: SharedBudget;
  allowed: number;
}

const service = "desk";
const propertyRun = { seed: 9_310, numRuns: 200 };
const limits = { ratio: 0.2, slack: 50, windowMs: 10_000 };

After(function (this: SharedBudgetWorld): void {
  this.budgetClock?.uninstall();
});

Given(
  "an instance out of {int} with a ratio of {float} and a slack of {int} in {int} ms",
  function (
    this: SharedBudgetWorld,
    instances: number,
    ratio: number,
    slack: number,
    windowMs: number,
  ): void {
    this.budgetClock = pauseClock();
    this.allowed = 0;
    this.budget = createSharedBudget({ ratio, slack, windowMs }, {
      countInstances: () => instances,
    });
  },
);

When("it asks for {int} repeats", function (
  this: SharedBudgetWorld,
  repeats: number,
): void {
  for (let each = 0; each < repeats; each++) {
    if (this.budget.consumeRepeat(service)) this.allowed += 1;
  }
});

When("{int} ms pass for the budget", function (
  this: SharedBudgetWorld,
  ms: number,
): void {
  this.budgetClock?.tick(ms);
});

Then("{int} of them were allowed", function (
  this: SharedBudgetWorld,
  expected: number,
): void {
  assert.equal(this.allowed, expected);
});

Then(
  "in any window all instances together spend no more than the ratio of their calls and the slack",
  function (this: SharedBudgetWorld): void {
    const step = fc.record({
      instance: fc.integer({ min: 0, max: 4 }),
      waitMs: fc.integer({ min: 0, max: 300 }),
      repeats: fc.integer({ min: 0, max: 4 }),
    });
    const steps = fc.array(step, { minLength: 50, maxLength: 300 });
    fc.assert(fc.property(steps, checkBound), propertyRun);
  },
);

/** Checks after each step that the repeats of five instances stay within the bound for the last window. */
function checkBound(
  steps: readonly {
    readonly instance: number;
    readonly waitMs: number;
    readonly repeats: number;
  }[],
): void {
  const clock = pauseClock();
  try {
    const budgets = Array.from(
      { length: 5 },
      () => createSharedBudget(limits, { countInstances: () => 5 }),
    );
    const calls: number[] = [];
    const repeats: number[] = [];
    for (const step of steps) {
      clock.tick(step.waitMs);
      const budget = budgets[step.instance];
      budget?.recordCall(service);
      calls.push(performance.now());
      for (let each = 0; each < step.repeats; each++) {
        if (budget?.consumeRepeat(service)) repeats.push(performance.now());
      }
      const count = (times: readonly number[]): number =>
        times.filter((time) => time > performance.now() - limits.windowMs)
          .length;
      assert.ok(
        count(repeats) <= limits.ratio * count(calls) + limits.slack,
        `${count(repeats)} repeats of ${count(calls)} calls`,
      );
    }
  } finally {
    clock.uninstall();
  }
}
