/** Rates of quantities over the last seconds. */

/** Rate that forgets exponentially. */
export interface RecentRate {
  readonly add: (amount: number) => void;
  /** Amount per ms over the window, or over the time since the start while shorter. */
  readonly getPerMs: () => number;
}

/** Creates a rate with the given time constant. */
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
