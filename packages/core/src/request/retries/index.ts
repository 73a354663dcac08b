/** Retry budgets and hedges. */
export {};
