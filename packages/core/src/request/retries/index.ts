/** Retry budgets and hedges. */
export {
  createRetryBudget,
  type HedgeState,
  RepeatKind,
  type RetryBudget,
} from "./budget.ts";
export {
  createSharedBudget,
  type SharedBudget,
  type SharedBudgetLimits,
} from "./shared_budget.ts";
