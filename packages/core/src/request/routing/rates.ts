/** Exponentially decaying rates. */

/** Rate over recent time, in which older amounts decay exponentially. */
export interface RecentRate {
  readonly add: (amount: number) => void;
  /** Amount per ms, corrected for the time before creation while the window is not yet covered. */
  readonly getPerMs: () => number;
}

/** Creates a rate; `windowMs` is the time constant of the decay. */
export function createRecentRate(windowMs: number): RecentRate {
  const startMs = performance.now();
  let sum = 0;
  let updatedMs = startMs;
  function advanceTo(nowMs: number): void {
    sum *= Math.exp((updatedMs - nowMs) / windowMs);
    updatedMs = nowMs;
  }
  return {
    add(amount): void {
      advanceTo(performance.now());
      sum += amount;
    },
    getPerMs(): number {
      const nowMs = performance.now();
      advanceTo(nowMs);
      const covered = 1 - Math.exp((startMs - nowMs) / windowMs);
      return covered > 0 ? sum / (windowMs * covered) : 0;
    },
  };
}
