/** Outcomes of one run of features. */

/** Scenarios by outcome; a name is the feature's path and the scenario's name. */
export interface Outcomes {
  readonly passed: readonly string[];
  readonly failed: readonly string[];
  /** Message of the first failed step by the name of its scenario, shortened. */
  readonly reasons: Readonly<Record<string, string>>;
  /** A hook outside all scenarios failed, for instance for an unused snapshot. */
  readonly hooksFailed: boolean;
}
