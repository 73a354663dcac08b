/** Counts of how requests of each pool ended at this instance. */
import {
  type PoolHealth,
  type PoolName,
  RefusalReason,
} from "@trefoildoor/core";

/** Refusals that speak against the pool's engines, not against its load or the caller. */
const failureReasons: readonly RefusalReason[] = [
  RefusalReason.EndpointFailed,
  RefusalReason.NoEndpoint,
  RefusalReason.DeadlineExceeded,
];

/** Counts since the start of the instance. */
export interface PoolHealthBook {
  readonly note: (pool: PoolName, refusal: RefusalReason | undefined) => void;
  readonly read: (pool: PoolName) => PoolHealth;
}

/** Creates the counts. */
export function createPoolHealthBook(): PoolHealthBook {
  const counts = new Map<PoolName, PoolHealth>();
  const read = (pool: PoolName): PoolHealth =>
    counts.get(pool) ?? { finished: 0, failed: 0 };
  return {
    note(pool, refusal): void {
      const failed = refusal !== undefined && failureReasons.includes(refusal);
      const known = read(pool);
      counts.set(pool, {
        finished: known.finished + 1,
        failed: known.failed + (failed ? 1 : 0),
      });
    },
    read,
  };
}
