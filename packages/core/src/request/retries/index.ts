/** Retry budgets and hedges. */
export {
  createRetryBudget,
  type HedgeState,
  RepeatKind,
  type RetryBudget,
} from "./budget.ts";
