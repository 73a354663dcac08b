/** Selects the next engine of a rollout and checks the pool's floors per role. */
import {
  type BundleEngine,
  type BundlePool,
  type ControlState,
  type EndpointName,
  EngineRole,
  type EngineState,
  type EngineTarget,
  OrderProgress,
} from "../../types/index.ts";
import { isSameTarget } from "../orders/index.ts";

/** An engine of a pool; `state` is undefined while the engine does not answer. */
export interface ObservedEngine {
  readonly engine: BundleEngine;
  readonly state: EngineState | undefined;
}

/** The next step, or why there is none. */
export type RolloutPlan =
  | { readonly kind: "done" }
  | { readonly kind: "blocked"; readonly reason: string }
  | {
    readonly kind: "step";
    readonly engine: BundleEngine;
    readonly target: EngineTarget;
  };

/**
 * Plans the next step: engines that serve nothing first, then failure domain
 * by failure domain in the bundle's order, by name.
 */
export function planRollout(
  state: ControlState,
  pool: BundlePool,
  options: {
    readonly observed: readonly ObservedEngine[];
    /** Engines that get no step in this round. */
    readonly skipped: ReadonlySet<EndpointName>;
  },
): RolloutPlan {
  const { observed, skipped } = options;
  const due = sortByDomain(state, observed).flatMap((one) => {
    const target = buildRolloutTarget(state, pool, one);
    if (!one.state || isSameTarget(one.state.target, target)) return [];
    return [{ engine: one.engine, target, state: one.state }];
  });
  const open = due.filter(({ engine }) => !skipped.has(engine.name));
  for (const { engine, target } of open) {
    if (
      canDrainEngine(pool, { observed, engine: engine.name, role: target.role })
    ) {
      return { kind: "step", engine, target };
    }
  }
  if (open[0]) {
    const reason = `${
      open[0].engine.name
    } cannot be drained without violating the pool's floors`;
    return { kind: "blocked", reason };
  }
  const [skippedEngine] = due;
  if (skippedEngine) {
    const reason =
      `${skippedEngine.engine.name} is skipped while an earlier order is pending`;
    return { kind: "blocked", reason };
  }
  return { kind: "done" };
}

/**
 * Target of an engine under the bundle: the pool's models, in the engine's
 * present role once it has had an order, otherwise in the bundle's role.
 */
export function buildRolloutTarget(
  state: ControlState,
  pool: BundlePool,
  options: ObservedEngine,
): EngineTarget {
  const { engine, state: present } = options;
  const models = pool.models.map(({ model, version, adapters }) => ({
    model,
    version,
    adapters,
  }));
  const wasOrdered = Object.hasOwn(state.orders, engine.name);
  const role = wasOrdered && present ? present.target.role : engine.role;
  return { role, models };
}

/**
 * Whether the pool meets its floors while an engine is out of service, and
 * afterwards with the engine in the given role.
 */
export function canDrainEngine(
  pool: BundlePool,
  options: {
    readonly observed: readonly ObservedEngine[];
    readonly engine: EndpointName;
    readonly role: EngineRole;
  },
): boolean {
  const { observed, engine, role } = options;
  const taken = observed.find((one) => one.engine.name === engine);
  // An engine that serves nothing does not count towards the floors.
  if (taken && !isServing(taken)) return true;
  const others = observed.filter((one) =>
    one.engine.name !== engine && isServing(one)
  ).map((one) => one.state?.target.role ?? one.engine.role);
  return hasFloors(pool, others) && hasFloors(pool, [...others, role]);
}

/** Whether an engine has models loaded and no order in progress. */
export function isServing({ state }: ObservedEngine): boolean {
  return state !== undefined && state.progress !== OrderProgress.Running &&
    state.target.models.length > 0;
}

function hasFloors(pool: BundlePool, roles: readonly EngineRole[]): boolean {
  const prefill = roles.filter((role) => role !== EngineRole.Decode).length;
  const decode = roles.filter((role) => role !== EngineRole.Prefill).length;
  return prefill >= pool.prefill_floor && decode >= pool.decode_floor;
}

function sortByDomain(
  state: ControlState,
  observed: readonly ObservedEngine[],
): readonly ObservedEngine[] {
  const domains = state.bundle?.signed.bundle.failure_domains ?? [];
  const ranks = new Map(domains.map(({ name }, index) => [name, index]));
  const getRank = (one: ObservedEngine): number =>
    isServing(one) ? 1 + (ranks.get(one.engine.failure_domain) ?? 0) : 0;
  return observed.toSorted((left, right) =>
    getRank(left) - getRank(right) ||
    (left.engine.name < right.engine.name ? -1 : 1)
  );
}
