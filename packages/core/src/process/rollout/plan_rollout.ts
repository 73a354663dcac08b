/** Decisions of a rollout: which engine comes next, and what may be taken away. */
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

/** An engine of a pool with its own state; undefined while it does not answer. */
export interface SeenEngine {
  readonly engine: BundleEngine;
  readonly state: EngineState | undefined;
}

/** Why no further step can be taken, or the step. */
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
    readonly seen: readonly SeenEngine[];
    /** Engines that are left alone for now. */
    readonly skipped: ReadonlySet<EndpointName>;
  },
): RolloutPlan {
  const { seen, skipped } = options;
  const due = sortByDomain(state, seen).flatMap((one) => {
    const target = buildRolloutTarget(state, pool, one);
    if (!one.state || isSameTarget(one.state.target, target)) return [];
    return [{ engine: one.engine, target, state: one.state }];
  });
  const open = due.filter(({ engine }) => !skipped.has(engine.name));
  for (const { engine, target } of open) {
    if (canTakeEngine(pool, { seen, engine: engine.name, role: target.role })) {
      return { kind: "step", engine, target };
    }
  }
  if (open[0]) {
    const reason = `${open[0].engine.name} is needed for the pool's floors`;
    return { kind: "blocked", reason };
  }
  const [skippedEngine] = due;
  if (skippedEngine) {
    const reason = `${skippedEngine.engine.name} waits for an earlier order`;
    return { kind: "blocked", reason };
  }
  return { kind: "done" };
}

/** Target of an engine under the bundle: its models, in the role it has been given. */
export function buildRolloutTarget(
  state: ControlState,
  pool: BundlePool,
  options: SeenEngine,
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
 * Whether the pool keeps its floors while an engine is away, and afterwards
 * when the engine comes back in another role.
 */
export function canTakeEngine(
  pool: BundlePool,
  options: {
    readonly seen: readonly SeenEngine[];
    readonly engine: EndpointName;
    readonly role: EngineRole;
  },
): boolean {
  const { seen, engine, role } = options;
  const taken = seen.find((one) => one.engine.name === engine);
  // What serves nothing cannot be missed.
  if (taken && !isServing(taken)) return true;
  const others = seen.filter((one) =>
    one.engine.name !== engine && isServing(one)
  ).map((one) => one.state?.target.role ?? one.engine.role);
  return hasFloors(pool, others) && hasFloors(pool, [...others, role]);
}

/** Whether an engine takes requests now. */
export function isServing({ state }: SeenEngine): boolean {
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
  seen: readonly SeenEngine[],
): readonly SeenEngine[] {
  const domains = state.bundle?.signed.bundle.failure_domains ?? [];
  const ranks = new Map(domains.map(({ name }, index) => [name, index]));
  const getRank = (one: SeenEngine): number =>
    isServing(one) ? 1 + (ranks.get(one.engine.failure_domain) ?? 0) : 0;
  return seen.toSorted((left, right) =>
    getRank(left) - getRank(right) ||
    (left.engine.name < right.engine.name ? -1 : 1)
  );
}
