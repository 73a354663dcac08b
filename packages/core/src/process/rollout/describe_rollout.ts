/** Progress of the rollout in each pool and engine, for display to operators. */
import type {
  BundlePool,
  BundleVersion,
  ControlState,
  EndpointName,
  EngineTarget,
  FailureDomain,
  InstanceName,
  PoolName,
} from "../../types/index.ts";
import {
  findOpenOrder,
  getVersionInForce,
} from "../../version/control/index.ts";
import { isSameTarget } from "../orders/index.ts";

/** Progress of one engine towards its target under the bundle in force. */
export enum RolloutProgress {
  Done = "done",
  /** The engine is being drained. */
  Draining = "draining",
  /** An order to the engine is open. */
  Changing = "changing",
  /** The engine's current target differs from its target under the bundle in force. */
  Waiting = "waiting",
  /** The order under the bundle in force did not reach its target, and none was read from the engine itself. */
  Failed = "failed",
  /** The engine's current target is not known: none was read from the engine, and its latest order reached none. */
  Unknown = "unknown",
}

/** Progress of one engine. */
export interface RolloutEngine {
  readonly engine: EndpointName;
  readonly failureDomain: FailureDomain;
  readonly progress: RolloutProgress;
}

/** Progress of one pool. */
export interface RolloutDescription {
  readonly pool: PoolName;
  readonly version: BundleVersion;
  /** Instance that runs the rollout as lease holder; absent while the lease is free. */
  readonly conductor?: InstanceName;
  /** Number of engines that have reached their target. */
  readonly done: number;
  readonly engines: readonly RolloutEngine[];
  /** Reason of an automatic halt; absent while the rollout is not halted. */
  readonly halted?: string;
}

/** Describes the rollout of the bundle in force in each pool. */
export function describeRollout(
  state: ControlState,
  options: {
    /** Targets last read from the engines themselves; they take precedence over closed orders, but not over open orders and drains. */
    readonly targets?: Readonly<Record<EndpointName, EngineTarget>>;
  } = {},
): readonly RolloutDescription[] {
  const pools = state.bundle?.signed.bundle.pools ?? [];
  const version = getVersionInForce(state);
  return pools.map((pool) => {
    const engines = pool.engines.map(({ name, failure_domain }) => ({
      engine: name,
      failureDomain: failure_domain,
      progress: getProgress(state, pool, {
        engine: name,
        target: options.targets?.[name],
      }),
    }));
    const lease = state.leases[pool.name];
    const halt = state.halts[pool.name];
    return {
      pool: pool.name,
      version,
      conductor: lease && !lease.released ? lease.holder : undefined,
      done: engines.filter((one) => one.progress === RolloutProgress.Done)
        .length,
      engines,
      halted: halt?.version === version ? halt.reason : undefined,
    };
  });
}

function getProgress(
  state: ControlState,
  pool: BundlePool,
  options: {
    readonly engine: EndpointName;
    readonly target: EngineTarget | undefined;
  },
): RolloutProgress {
  const { engine } = options;
  if (findOpenOrder(state, engine)) return RolloutProgress.Changing;
  if (Object.hasOwn(state.drains, engine)) return RolloutProgress.Draining;
  const order = Object.hasOwn(state.orders, engine)
    ? state.orders[engine]
    : undefined;
  // Fence-only orders do not change the target.
  const reachedTarget = order?.closed?.reached && !order.fenceOnly
    ? order.target
    : undefined;
  const isCurrent = order?.version === getVersionInForce(state);
  const hasFailed = order?.closed?.reached === false && !order.fenceOnly;
  if (isCurrent && hasFailed && !options.target) return RolloutProgress.Failed;
  const target = options.target ?? reachedTarget;
  if (!target) return RolloutProgress.Unknown;
  const wanted = { role: target.role, models: pool.models };
  return isSameTarget(target, wanted)
    ? RolloutProgress.Done
    : RolloutProgress.Waiting;
}
