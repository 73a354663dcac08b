/** Retry budgets, per instance and shared, and the decision to hedge. */
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
