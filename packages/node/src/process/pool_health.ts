/** Counts of finished and failed requests of each pool at this instance. */
import {
  type PoolHealth,
  type PoolName,
  RefusalReason,
} from "@trefoildoor/core";

/** Refusals that point to a fault of the pool's engines, not to load or to the caller. */
const failureReasons: readonly RefusalReason[] = [
  RefusalReason.EndpointFailed,
  RefusalReason.NoEndpoint,
  RefusalReason.DeadlineExceeded,
];

/** Counts since the start of the instance. */
export interface PoolHealthTracker {
  readonly note: (pool: PoolName, refusal: RefusalReason | undefined) => void;
  readonly read: (pool: PoolName) => PoolHealth;
}

/** Creates a tracker whose counts are all zero. */
export function createPoolHealthTracker(): PoolHealthTracker {
  const counts = new Map<PoolName, PoolHealth>();
  const read = (pool: PoolName): PoolHealth =>
    counts.get(pool) ?? { finished: 0, failed: 0 };
  return {
    note(pool, refusal): void {
      const failed = refusal !== undefined && failureReasons.includes(refusal);
      const previous = read(pool);
      counts.set(pool, {
        finished: previous.finished + 1,
        failed: previous.failed + (failed ? 1 : 0),
      });
    },
    read,
  };
}
