/**
 * Task of one pool, active while its lease is held: settles open orders and
 * drains of earlier holders, rolls out the bundle, then changes roles, one
 * engine at a time.
 */
import { waitFor } from "../../shared/index.ts";
import {
  type BundlePool,
  type ControlState,
  type DemandSample,
  type EndpointName,
  type PlannerEngine,
  type PlanRoles,
  type PoolName,
  RecordKind,
} from "../../types/index.ts";
import {
  findOpenOrder,
  getVersionInForce,
} from "../../version/control/index.ts";
import {
  type ChangeEnd,
  changeEngine,
  ChangeStatus,
  closeDrain,
  type EngineChange,
  type LeasedPool,
  type OrderContext,
  settleOpenOrder,
  tryFetchState,
} from "../orders/index.ts";
import { rolloutEvents } from "./events.ts";
import {
  canDrainEngine,
  type ObservedEngine,
  planRollout,
  type RolloutPlan,
} from "./plan_rollout.ts";
import {
  createHealthWatch,
  type HealthWatch,
  type PoolHealth,
} from "./watch_health.ts";

const roundDelayMs = 1_000;
const failureDelayMs = 1_000;
/** Failed changes of one engine under one bundle version that halt the rollout. */
const maxAttempts = 2;
/** Time for which an engine is skipped after its change had to wait, in ms. */
const skipTimeMs = 30_000;

/** Dependencies and inputs of the task of a pool. */
export interface ReconcilePoolOptions extends OrderContext {
  readonly pool: PoolName;
  readonly planRoles: PlanRoles;
  /** Engines of the pool with the newest load reports that this instance has. */
  readonly listEngines: () => readonly PlannerEngine[];
  /** Demand samples of the pool, newest last. */
  readonly listDemand: () => readonly DemandSample[];
  readonly measureHealth: () => PoolHealth;
}

/** State of the task between rounds, reset with each epoch and bundle version. */
interface PoolTaskState {
  readonly epoch: number;
  version: number;
  health: HealthWatch;
  readonly attempts: Map<EndpointName, number>;
  /** End of each engine's skip time, on the monotonic clock in ms. */
  readonly skippedUntil: Map<EndpointName, number>;
  lastChangeMs?: number;
  /** Reason for which the newest round was blocked. */
  blocked?: string;
}

/** Inputs of one round of the task under a held lease. */
interface PoolRound extends LeasedPool {
  readonly version: number;
  readonly observed: readonly ObservedEngine[];
  readonly task: PoolTaskState;
}

/** Runs the task until the signal aborts; a failed round is logged and retried. */
export async function reconcilePool(
  options: ReconcilePoolOptions,
): Promise<void> {
  let task: PoolTaskState | undefined;
  while (!options.signal.aborted) {
    const epoch = options.lease.getEpoch();
    if (epoch === undefined) task = undefined;
    else {
      task = advanceTask(task, options, { epoch });
      const hasSucceeded = await runRound(options, task).then(
        () => true,
        (error: unknown) => logFailure(options, error),
      );
      if (!hasSucceeded) await waitFor(failureDelayMs, options.signal);
    }
    await waitFor(roundDelayMs, options.signal);
  }
}

function logFailure(options: ReconcilePoolOptions, error: unknown): false {
  options.logEvent?.(rolloutEvents.poolFailed, {
    pool: options.pool,
    error: error instanceof Error ? error.message : String(error),
  });
  return false;
}

/** Resets the state when the epoch or the bundle version changes. */
function advanceTask(
  task: PoolTaskState | undefined,
  options: ReconcilePoolOptions,
  { epoch }: { readonly epoch: number },
): PoolTaskState {
  const version = getVersionInForce(options.stream.getState());
  if (task?.epoch === epoch && task.version === version) return task;
  return {
    epoch,
    version,
    health: createHealthWatch(options.measureHealth),
    attempts: new Map(),
    skippedUntil: new Map(),
    lastChangeMs: task?.lastChangeMs,
  };
}

async function runRound(
  options: ReconcilePoolOptions,
  task: PoolTaskState,
): Promise<void> {
  const state = options.stream.getState();
  const pool = findPool(state, options.pool);
  if (!pool) return;
  const observed = await readEngines(pool, options);
  options.lease.expectHeld(task.epoch);
  const { epoch, version } = task;
  const round = { pool, epoch, version, observed, task };
  await settleEarlierOrders(round, options);
  if (state.halts[pool.name]?.version === version) return;
  const skipped = listSkipped(task);
  const plan = planRollout(options.stream.getState(), pool, {
    observed,
    skipped,
  });
  logBlocked(options, task, { plan });
  if (plan.kind === "step") {
    return await runStep(round, options, { step: plan });
  }
  if (plan.kind === "done") await planRoleChange(round, options);
}

/** Logs each new reason for which the rollout is blocked. */
function logBlocked(
  options: ReconcilePoolOptions,
  task: PoolTaskState,
  blockedOptions: { readonly plan: RolloutPlan },
): void {
  const { plan } = blockedOptions;
  const reason = plan.kind === "blocked" ? plan.reason : undefined;
  if (reason !== undefined && reason !== task.blocked) {
    const { pool } = options;
    options.logEvent?.(rolloutEvents.rolloutBlocked, { pool, reason });
  }
  task.blocked = reason;
}

/** Settles open orders and drains of earlier epochs. */
async function settleEarlierOrders(
  round: PoolRound,
  options: ReconcilePoolOptions,
): Promise<void> {
  const { pool, epoch, version, task } = round;
  const skipped = listSkipped(task);
  for (const { engine, state } of round.observed) {
    if (!state || skipped.has(engine.name)) continue;
    const control = options.stream.getState();
    const open = findOpenOrder(control, engine.name);
    const drain = control.drains[engine.name];
    if (!open && !drain) continue;
    const { target } = state;
    const change = { pool, epoch, engine, target, version };
    const reason = open && await settleOpenOrder(change, options);
    if (reason !== undefined) recordSkipped(task, engine.name);
    await closeDrain({ pool, epoch, engine: engine.name }, options);
  }
}

/** Changes one engine, then halts the rollout on repeated or increased failures. */
async function runStep(
  round: PoolRound,
  options: ReconcilePoolOptions,
  { step }: { readonly step: Pick<EngineChange, "engine" | "target"> },
): Promise<void> {
  const { pool, epoch, version, task } = round;
  const { engine, target } = step;
  const change = { pool, epoch, version, engine, target };
  const end = await changeEngine(change, options);
  logEnd(options, change, { end, isRole: false });
  if (end.status === ChangeStatus.Waiting) {
    return recordSkipped(task, engine.name);
  }
  options.lease.expectHeld(epoch);
  const cause = end.status === ChangeStatus.Failed
    ? countAttempt(task, engine.name, end)
    : await task.health.findFailureIncrease(options.signal);
  if (cause !== undefined) await recordHalt(round, options, { cause });
}

/** Counts a failed change; returns the reason to halt at the maximum. */
function countAttempt(
  task: PoolTaskState,
  engine: EndpointName,
  options: ChangeEnd,
): string | undefined {
  const attempts = (task.attempts.get(engine) ?? 0) + 1;
  task.attempts.set(engine, attempts);
  if (attempts < maxAttempts) return undefined;
  return `${engine} failed ${attempts} times: ${options.detail}`;
}

async function recordHalt(
  round: PoolRound,
  options: ReconcilePoolOptions,
  { cause }: { readonly cause: string },
): Promise<void> {
  const { pool, epoch, version } = round;
  const reason = cause.slice(0, 256);
  options.lease.expectHeld(epoch);
  await options.stream.append([{
    kind: RecordKind.RolloutHalted,
    pool: pool.name,
    epoch,
    version,
    reason,
  }]);
  options.logEvent?.(rolloutEvents.rolloutHalted, {
    pool: pool.name,
    version,
    reason,
  });
}

/** Requests one role change from the planner and carries it out. */
async function planRoleChange(
  round: PoolRound,
  options: ReconcilePoolOptions,
): Promise<void> {
  const { pool, epoch, version, observed, task } = round;
  const choice = options.planRoles({
    pool,
    engines: options.listEngines(),
    demand: options.listDemand(),
    nowMs: Date.now(),
    lastChangeMs: task.lastChangeMs,
  });
  const chosen = observed.find((one) => one.engine.name === choice?.engine);
  if (!choice || !chosen?.state || listSkipped(task).has(choice.engine)) {
    return;
  }
  const { role } = choice;
  if (!canDrainEngine(pool, { observed, engine: choice.engine, role })) return;
  const target = { ...chosen.state.target, role };
  const change = { pool, epoch, version, engine: chosen.engine, target };
  const end = await changeEngine(change, options);
  logEnd(options, change, { end, isRole: true });
  if (end.status === ChangeStatus.Waiting) recordSkipped(task, choice.engine);
  else task.lastChangeMs = Date.now();
}

async function readEngines(
  pool: BundlePool,
  options: ReconcilePoolOptions,
): Promise<readonly ObservedEngine[]> {
  return await Promise.all(pool.engines.map(async (engine) => ({
    engine,
    state: await tryFetchState(options.openEngine(engine), options),
  })));
}

function findPool(
  state: ControlState,
  name: PoolName,
): BundlePool | undefined {
  return state.bundle?.signed.bundle.pools.find((pool) => pool.name === name);
}

function recordSkipped(task: PoolTaskState, engine: EndpointName): void {
  task.skippedUntil.set(engine, performance.now() + skipTimeMs);
}

function listSkipped(task: PoolTaskState): ReadonlySet<EndpointName> {
  const nowMs = performance.now();
  const skipped = [...task.skippedUntil].filter(([, until]) => until > nowMs);
  return new Set(skipped.map(([engine]) => engine));
}

function logEnd(
  options: ReconcilePoolOptions,
  change: EngineChange,
  logOptions: { readonly end: ChangeEnd; readonly isRole: boolean },
): void {
  const { end, isRole } = logOptions;
  const { roleChanged, stepEnded } = rolloutEvents;
  options.logEvent?.(isRole ? roleChanged : stepEnded, {
    pool: change.pool.name,
    engine: change.engine.name,
    version: change.version,
    status: end.status,
    detail: end.detail,
  });
}
