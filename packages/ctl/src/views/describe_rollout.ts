/** Progress of the bundle in force on the engines of each pool. */
import {
  type Bundle,
  type BundleEngine,
  type BundlePool,
  type ControlState,
  isSameTarget,
} from "@trefoildoor/core";

/** How far an engine is. */
export enum EngineProgress {
  /** The newest order reached the models of the bundle in force. */
  Current = "current",
  Draining = "draining",
  Ordered = "ordered",
  /** The newest order did not reach its target. */
  Failed = "failed",
  /** The newest order was for other models. */
  Pending = "pending",
  /** The log holds no order that tells what the engine runs. */
  Unknown = "unknown",
}

/** Progress in one failure domain of a pool. */
export interface RolloutRow {
  readonly pool: string;
  readonly failureDomain: string;
  readonly engines: number;
  readonly progress: Readonly<Record<EngineProgress, number>>;
  /** Why the rollout of the pool was stopped; absent while it goes on. */
  readonly halted?: string;
}

/** Lists progress by pool and failure domain. */
export function listRollout(state: ControlState): readonly RolloutRow[] {
  const bundle = state.bundle?.signed.bundle;
  return (bundle?.pools ?? []).flatMap((pool) =>
    listDomains(bundle, pool).map((failureDomain) =>
      describeDomain(state, pool, { failureDomain })
    )
  );
}

/** Returns how far one engine is. */
export function getEngineProgress(
  state: ControlState,
  pool: BundlePool,
  { name }: Pick<BundleEngine, "name">,
): EngineProgress {
  const order = state.orders[name];
  if (order && !order.closed) return EngineProgress.Ordered;
  if (state.drains[name]) return EngineProgress.Draining;
  if (!order || order.fenceOnly) return EngineProgress.Unknown;
  const { role } = order.target;
  const isCurrent = isSameTarget(order.target, { role, models: pool.models });
  if (isCurrent && order.closed?.reached) return EngineProgress.Current;
  const isOwn = order.version === state.bundle?.signed.bundle.version;
  return isOwn && !order.closed?.reached
    ? EngineProgress.Failed
    : EngineProgress.Pending;
}

function describeDomain(
  state: ControlState,
  pool: BundlePool,
  { failureDomain }: { readonly failureDomain: string },
): RolloutRow {
  const engines = pool.engines.filter((engine) =>
    engine.failure_domain === failureDomain
  );
  const found = engines.map((engine) => getEngineProgress(state, pool, engine));
  const counts = Object.values(EngineProgress).map((progress) =>
    [
      progress,
      found.filter((candidate) => candidate === progress).length,
    ] as const
  );
  const halt = state.halts[pool.name];
  return {
    pool: pool.name,
    failureDomain,
    engines: engines.length,
    progress: Object.fromEntries(counts) as RolloutRow["progress"],
    ...(halt && { halted: halt.reason }),
  };
}

function listDomains(
  bundle: Bundle | undefined,
  pool: BundlePool,
): readonly string[] {
  const used = new Set(pool.engines.map((engine) => engine.failure_domain));
  return (bundle?.failure_domains ?? [])
    .map(({ name }) => name)
    .filter((name) => used.has(name));
}
