/** Detects an increase of a pool's failure rate during a rollout. */
import { waitFor } from "../../shared/index.ts";

/** Requests of a pool since the start of the process. */
export interface PoolHealth {
  readonly finished: number;
  /** Requests that ended without a useful answer; not included in `finished`. */
  readonly failed: number;
}

/** Time for which requests are counted after a step, in ms. */
export const healthWindowMs = 10_000;
/** Minimum number of requests for which a failed share is computed; with fewer before the rollout, the base is 0. */
const minRequests = 20;
/** Tolerated increase of the failed share (0.05: five percentage points). */
const maxShareIncrease = 0.05;

/** Compares a pool's failed share after each step of one rollout with the share before it. */
export interface HealthWatch {
  /**
   * Counts requests over the health window and returns a description if the
   * failed share increased by more than the tolerance; undefined if it did
   * not or if there were too few requests.
   */
  readonly findFailureIncrease: (
    signal: AbortSignal,
  ) => Promise<string | undefined>;
}

/** Creates a watch; its base is the failed share of all requests since the start of the process. */
export function createHealthWatch(
  measureHealth: () => PoolHealth,
): HealthWatch {
  const base = measureHealth();
  const baseShare = computeFailedShare(base) ?? 0;
  return {
    findFailureIncrease: async (signal) => {
      const before = measureHealth();
      await waitFor(healthWindowMs, signal);
      const after = measureHealth();
      const share = computeFailedShare({
        finished: after.finished - before.finished,
        failed: after.failed - before.failed,
      });
      if (share === undefined || share <= baseShare + maxShareIncrease) {
        return undefined;
      }
      return `failed requests grew from ${formatShare(baseShare)} to ${
        formatShare(share)
      }`;
    },
  };
}

function computeFailedShare(health: PoolHealth): number | undefined {
  const requests = health.finished + health.failed;
  return requests < minRequests ? undefined : health.failed / requests;
}

function formatShare(share: number): string {
  return `${(share * 100).toFixed(1)} %`;
}
