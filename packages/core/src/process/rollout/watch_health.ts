/** Judges by finished and failed requests whether a step made things worse. */
import { waitFor } from "../../shared/index.ts";

/** Requests of a pool since the start of the process. */
export interface PoolHealth {
  readonly finished: number;
  /** Requests that ended without a useful answer. */
  readonly failed: number;
}

/** Time for which requests are counted after a step, in ms. */
export const healthWindowMs = 10_000;
/** Fewest requests on which a share is judged. */
const minRequests = 20;
/** By how much the failed share may grow. */
const maxGrowth = 0.05;

/** Watches one rollout. */
export interface HealthWatch {
  /** Counts after a step and tells what got worse; undefined when nothing did. */
  readonly findDamage: (signal: AbortSignal) => Promise<string | undefined>;
}

/** Creates a watch whose base are all requests up to now. */
export function createHealthWatch(
  measureHealth: () => PoolHealth,
): HealthWatch {
  const base = measureHealth();
  const baseShare = computeFailedShare(base) ?? 0;
  return {
    findDamage: async (signal) => {
      const before = measureHealth();
      await waitFor(healthWindowMs, signal);
      const after = measureHealth();
      const share = computeFailedShare({
        finished: after.finished - before.finished,
        failed: after.failed - before.failed,
      });
      if (share === undefined || share <= baseShare + maxGrowth) {
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
