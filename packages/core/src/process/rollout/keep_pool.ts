/**
 * Task of one pool, active while its lease is held: settles what earlier
 * holders left, rolls the bundle out, then changes roles, one engine at a time.
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
  canTakeEngine,
  planRollout,
  type RolloutPlan,
  type SeenEngine,
} from "./plan_rollout.ts";
import {
  createHealthWatch,
  type HealthWatch,
  type PoolHealth,
} from "./watch_health.ts";

const roundPauseMs = 1_000;
const failurePauseMs = 1_000;
/** Tries at one engine under one bundle version before the rollout stops. */
const maxTries = 2;
/** Time for which an engine whose change had to wait is left alone, in ms. */
const skipMs = 30_000;

/** What the task of a pool needs. */
export interface KeepPoolOptions extends OrderContext {
  readonly pool: PoolName;
  readonly planRoles: PlanRoles;
  /** Engines of the pool as this instance sees them. */
  readonly listEngines: () => readonly PlannerEngine[];
  /** Work offered to the pool, newest last. */
  readonly listDemand: () => readonly DemandSample[];
  readonly measureHealth: () => PoolHealth;
}

/** What the task remembers between rounds of one epoch. */
interface PoolMemory {
  readonly epoch: number;
  version: number;
  health: HealthWatch;
  readonly tries: Map<EndpointName, number>;
  /** Until when engines are left alone, on the monotonic clock in ms. */
  readonly skippedUntil: Map<EndpointName, number>;
  lastChangeMs?: number;
  /** Why the rollout waited in the newest round. */
  blocked?: string;
}

/** A round of the task under a held lease. */
interface PoolRound extends LeasedPool {
  readonly version: number;
  readonly seen: readonly SeenEngine[];
  readonly memory: PoolMemory;
}

/** Keeps a pool until the signal aborts. */
export async function keepPool(options: KeepPoolOptions): Promise<void> {
  let memory: PoolMemory | undefined;
  while (!options.signal.aborted) {
    const epoch = options.lease.getEpoch();
    if (epoch === undefined) memory = undefined;
    else {
      memory = advanceMemory(memory, options, { epoch });
      const isDone = await runRound(options, memory).then(
        () => true,
        (error: unknown) => logFailure(options, error),
      );
      if (!isDone) await waitFor(failurePauseMs, options.signal);
    }
    await waitFor(roundPauseMs, options.signal);
  }
}

function logFailure(options: KeepPoolOptions, error: unknown): false {
  options.logEvent?.(rolloutEvents.poolFailed, {
    pool: options.pool,
    error: error instanceof Error ? error.message : String(error),
  });
  return false;
}

/** Starts afresh with each epoch and each bundle version. */
function advanceMemory(
  memory: PoolMemory | undefined,
  options: KeepPoolOptions,
  { epoch }: { readonly epoch: number },
): PoolMemory {
  const version = getVersionInForce(options.stream.getState());
  if (memory?.epoch === epoch && memory.version === version) return memory;
  return {
    epoch,
    version,
    health: createHealthWatch(options.measureHealth),
    tries: new Map(),
    skippedUntil: new Map(),
    lastChangeMs: memory?.lastChangeMs,
  };
}

async function runRound(
  options: KeepPoolOptions,
  memory: PoolMemory,
): Promise<void> {
  const state = options.stream.getState();
  const pool = findPool(state, options.pool);
  if (!pool) return;
  const seen = await readEngines(pool, options);
  options.lease.expectHeld(memory.epoch);
  const { epoch, version } = memory;
  const round = { pool, epoch, version, seen, memory };
  await settleLeftovers(round, options);
  if (state.halts[pool.name]?.version === version) return;
  const skipped = listSkipped(memory);
  const plan = planRollout(options.stream.getState(), pool, { seen, skipped });
  noteBlocked(options, memory, { plan });
  if (plan.kind === "step") {
    return await runStep(round, options, { step: plan });
  }
  if (plan.kind === "done") await planRoleChange(round, options);
}

/** Logs each new reason for which the rollout waits. */
function noteBlocked(
  options: KeepPoolOptions,
  memory: PoolMemory,
  noteOptions: { readonly plan: RolloutPlan },
): void {
  const { plan } = noteOptions;
  const reason = plan.kind === "blocked" ? plan.reason : undefined;
  if (reason !== undefined && reason !== memory.blocked) {
    const { pool } = options;
    options.logEvent?.(rolloutEvents.rolloutBlocked, { pool, reason });
  }
  memory.blocked = reason;
}

/** Settles open orders and drains of earlier epochs. */
async function settleLeftovers(
  round: PoolRound,
  options: KeepPoolOptions,
): Promise<void> {
  const { pool, epoch, version, memory } = round;
  const skipped = listSkipped(memory);
  for (const { engine, state } of round.seen) {
    if (!state || skipped.has(engine.name)) continue;
    const control = options.stream.getState();
    const open = findOpenOrder(control, engine.name);
    const drain = control.drains[engine.name];
    if (!open && !drain) continue;
    const { target } = state;
    const change = { pool, epoch, engine, target, version };
    const reason = open && await settleOpenOrder(change, options);
    if (reason !== undefined) noteSkipped(memory, engine.name);
    await closeDrain({ pool, epoch, engine: engine.name }, options);
  }
}

/** Takes one step of the rollout and judges what it did. */
async function runStep(
  round: PoolRound,
  options: KeepPoolOptions,
  { step }: { readonly step: Pick<EngineChange, "engine" | "target"> },
): Promise<void> {
  const { pool, epoch, version, memory } = round;
  const { engine, target } = step;
  const change = { pool, epoch, version, engine, target };
  const end = await changeEngine(change, options);
  logEnd(options, change, { end, isRole: false });
  if (end.status === ChangeStatus.Waiting) {
    return noteSkipped(memory, engine.name);
  }
  options.lease.expectHeld(epoch);
  const damage = end.status === ChangeStatus.Failed
    ? countTry(memory, engine.name, end)
    : await memory.health.findDamage(options.signal);
  if (damage !== undefined) await recordHalt(round, options, { damage });
}

/** Reason to stop once an engine has failed too often. */
function countTry(
  memory: PoolMemory,
  engine: EndpointName,
  options: ChangeEnd,
): string | undefined {
  const tries = (memory.tries.get(engine) ?? 0) + 1;
  memory.tries.set(engine, tries);
  if (tries < maxTries) return undefined;
  return `${engine} failed ${tries} times: ${options.detail}`;
}

async function recordHalt(
  round: PoolRound,
  options: KeepPoolOptions,
  { damage }: { readonly damage: string },
): Promise<void> {
  const { pool, epoch, version } = round;
  const reason = damage.slice(0, 256);
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

/** Asks the planner for one role change and carries it out. */
async function planRoleChange(
  round: PoolRound,
  options: KeepPoolOptions,
): Promise<void> {
  const { pool, epoch, version, seen, memory } = round;
  const choice = options.planRoles({
    pool,
    engines: options.listEngines(),
    demand: options.listDemand(),
    nowMs: Date.now(),
    lastChangeMs: memory.lastChangeMs,
  });
  const chosen = seen.find((one) => one.engine.name === choice?.engine);
  if (!choice || !chosen?.state || listSkipped(memory).has(choice.engine)) {
    return;
  }
  const { role } = choice;
  if (!canTakeEngine(pool, { seen, engine: choice.engine, role })) return;
  const target = { ...chosen.state.target, role };
  const change = { pool, epoch, version, engine: chosen.engine, target };
  const end = await changeEngine(change, options);
  logEnd(options, change, { end, isRole: true });
  if (end.status === ChangeStatus.Waiting) noteSkipped(memory, choice.engine);
  else memory.lastChangeMs = Date.now();
}

async function readEngines(
  pool: BundlePool,
  options: KeepPoolOptions,
): Promise<readonly SeenEngine[]> {
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

function noteSkipped(memory: PoolMemory, engine: EndpointName): void {
  memory.skippedUntil.set(engine, performance.now() + skipMs);
}

function listSkipped(memory: PoolMemory): ReadonlySet<EndpointName> {
  const nowMs = performance.now();
  const skipped = [...memory.skippedUntil].filter(([, until]) => until > nowMs);
  return new Set(skipped.map(([engine]) => engine));
}

function logEnd(
  options: KeepPoolOptions,
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
