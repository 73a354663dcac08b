/** Steps of `budget.feature`: the bound on repeats and the decision to hedge. */
import assert from "node:assert/strict";
import { Then } from "@cucumber/cucumber";
import fc from "fast-check";
import { createRetryBudget, RepeatKind } from "./index.ts";

/** State of one scenario. */
interface BudgetWorld {
  matchSnapshot: (received: unknown) => void;
}

const propertyRun = { seed: 5_023, numRuns: 200 };
const allowedRatio = 0.1;
const allowedBurst = 40;

Then(
  "any mix of accepted requests and failures keeps calls below 1.1 per accepted request beyond a fixed burst",
  function (): void {
    const action = fc.record({
      endpoint: fc.constantFrom("engine-0", "engine-1", "engine-2"),
      repeats: fc.integer({ min: 0, max: 4 }),
      kind: fc.constantFrom(...Object.values(RepeatKind)),
    });
    const actions = fc.array(action, {
      maxLength: 2_000,
      size: "max",
    });
    fc.assert(
      fc.property(actions, (requests) => {
        const budget = createRetryBudget();
        let repeats = 0;
        for (const each of requests) {
          budget.recordAccepted(each.endpoint);
          for (let index = 0; index < each.repeats; index++) {
            if (budget.consumeRepeat(each.endpoint, each.kind)) repeats += 1;
          }
        }
        assert.ok(repeats <= requests.length * allowedRatio + allowedBurst);
      }),
      propertyRun,
    );
  },
);

Then(
  "the hedge decisions match the snapshot",
  function (this: BudgetWorld): void {
    const budget = createRetryBudget();
    const state = {
      elapsedMs: 2_000,
      expectedFirstTokenMs: 300,
      alternativeFirstTokenMs: 400,
      remainingMs: 5_000,
    };
    this.matchSnapshot({
      late: budget.needsHedge(state),
      early: budget.needsHedge({ ...state, elapsedMs: 600 }),
      otherSlower: budget.needsHedge({
        ...state,
        alternativeFirstTokenMs: 2_500,
      }),
      hopeless: budget.needsHedge({ ...state, remainingMs: 300 }),
    });
  },
);
