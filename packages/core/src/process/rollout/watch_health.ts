/** Compares the share of failed requests after a rollout step with that before the rollout. */
import { waitFor } from "../../shared/index.ts";

/** Requests of a pool since the start of the process. */
export interface PoolHealth {
  readonly finished: number;
  /** Requests that ended without a useful answer; not included in `finished`. */
  readonly failed: number;
}

/** Time for which requests are counted after a step, in ms. */
export const healthWindowMs = 10_000;
/** Minimum number of requests from which a share is computed. */
const minRequests = 20;
/** Maximum tolerated increase of the failed share, as a difference of shares. */
const maxShareIncrease = 0.05;

/** Health of a pool during one rollout. */
export interface HealthWatch {
  /**
   * Counts requests over the health window and describes an increase of the
   * failed share; undefined without one or with too few requests.
   */
  readonly findFailureIncrease: (
    signal: AbortSignal,
  ) => Promise<string | undefined>;
}

/** Creates a watch that compares with all requests up to the present. */
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
