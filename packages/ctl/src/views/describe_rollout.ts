/** Progress of the bundle in force, counted by pool and failure domain. */
import {
  type ControlState,
  describeRollout,
  type RolloutDescription,
  RolloutProgress,
} from "@trefoildoor/core";

/** Progress in one failure domain of a pool. */
export interface RolloutRow {
  readonly pool: string;
  readonly failureDomain: string;
  readonly engines: number;
  readonly progress: Readonly<Record<RolloutProgress, number>>;
  /** Why the rollout of the pool was stopped; absent while it goes on. */
  readonly halted?: string;
}

/** Lists progress by pool and failure domain. */
export function listRollout(state: ControlState): readonly RolloutRow[] {
  const domains = state.bundle?.signed.bundle.failure_domains ?? [];
  return describeRollout(state).flatMap((pool) =>
    domains
      .map(({ name }) => countDomain(pool, name))
      .filter(({ engines }) => engines > 0)
  );
}

/** Returns how far one engine is. */
export function getEngineProgress(
  state: ControlState,
  engine: string,
): RolloutProgress {
  const engines = describeRollout(state).flatMap((pool) => pool.engines);
  const found = engines.find((each) => each.engine === engine);
  return found?.progress ?? RolloutProgress.Unknown;
}

function countDomain(
  pool: RolloutDescription,
  failureDomain: string,
): RolloutRow {
  const engines = pool.engines.filter((engine) =>
    engine.failureDomain === failureDomain
  );
  const counts = Object.values(RolloutProgress).map((progress) =>
    [
      progress,
      engines.filter((engine) => engine.progress === progress).length,
    ] as const
  );
  return {
    pool: pool.pool,
    failureDomain,
    engines: engines.length,
    progress: Object.fromEntries(counts) as RolloutRow["progress"],
    ...(pool.halted !== undefined && { halted: pool.halted }),
  };
}
