/**
 * Role decisions of one pool. A change is made when the answers that it gains
 * over a horizon exceed those lost while the engine is out of service plus the
 * bundle's weight of a change, under the demand of a short and of a long window.
 */
import {
  type DemandSample,
  EngineRole,
  type PlannerEngine,
  type PlannerInput,
  type PlanRoles,
  type RoleChange,
} from "../../types/index.ts";
import {
  computeServedRate,
  type RoleCounts,
  type RoleSpeeds,
  type WorkloadMix,
} from "./capacity.ts";
import { createSpeedEstimator } from "./speeds.ts";

/** Options of the planner. */
export interface PlannerOptions {
  /** Time over which gains and losses of a change are summed, in ms. */
  readonly horizonMs?: number;
  /** Time that an engine is out of service for a change, drain included, in ms. */
  readonly changeTimeMs?: number;
  /** Minimum time between two changes, in ms. */
  readonly minIntervalMs?: number;
  /** Minimum gain as a share of all requests served over the horizon. */
  readonly minGainShare?: number;
}

interface Plan {
  readonly counts: RoleCounts;
  readonly from: EngineRole;
  readonly to: EngineRole;
  readonly moves: number;
}

const defaultHorizonMs = 60_000;
const defaultChangeTimeMs = 15_000;
const shortWindowMs = 8_000;
const longWindowMs = 16_000;
const defaultMinIntervalMs = 10_000;
const defaultMinGainShare = 0.03;
const maxMoves = 2;
/** Roles in order of preference at equal gains; mixed comes first as it serves both phases. */
const targetRoles = [EngineRole.Mixed, EngineRole.Prefill, EngineRole.Decode];
const msPerSecond = 1_000;

/** Creates the planner of one pool. */
export function createPlanner(options: PlannerOptions = {}): PlanRoles {
  const horizonMs = options.horizonMs ?? defaultHorizonMs;
  const changeTimeMs = options.changeTimeMs ?? defaultChangeTimeMs;
  const minIntervalMs = options.minIntervalMs ?? defaultMinIntervalMs;
  const minGainShare = options.minGainShare ?? defaultMinGainShare;
  const estimator = createSpeedEstimator();

  return (input: PlannerInput): RoleChange | undefined => {
    estimator.observe(input.engines);
    if (!mayChange(input, minIntervalMs)) return undefined;
    const mixes = [shortWindowMs, longWindowMs].map((windowMs) =>
      computeMix(input, windowMs)
    );
    const counts = countRoles(input.engines);
    const speeds = estimator.getSpeeds();
    let best: RoleChange | undefined;
    for (const plan of listPlans(counts, input)) {
      const gains = mixes.map((mix) =>
        mix ? computeGain(mix, { counts, plan, speeds }) : -Infinity
      );
      const gain = Math.min(...gains) / plan.moves;
      if (gain <= input.pool.role_change_weight) continue;
      if (best && gain <= best.gain) continue;
      const engine = pickEngine(input, plan.from);
      if (engine) best = { engine: engine.name, role: plan.to, gain };
    }
    return best;
  };

  function computeGain(
    mix: WorkloadMix,
    state: {
      readonly counts: RoleCounts;
      readonly plan: Plan;
      readonly speeds: RoleSpeeds;
    },
  ): number {
    const { counts, plan, speeds } = state;
    const now = computeServedRate(mix, { counts, speeds });
    const without = addRole(counts, [plan.from, -1]);
    const during = computeServedRate(mix, { counts: without, speeds });
    const after = computeServedRate(mix, { counts: plan.counts, speeds });
    const awayMs = changeTimeMs * plan.moves;
    const lost = (now - during) * awayMs;
    const minGain = now * horizonMs * minGainShare;
    const gained = (after - now) * (horizonMs - awayMs);
    return (gained - lost - minGain) / msPerSecond;
  }
}

/** No change while an engine is not ready or within the minimum interval. */
function mayChange(input: PlannerInput, minIntervalMs: number): boolean {
  if (input.engines.some((engine) => !engine.ready)) return false;
  if (input.lastChangeMs === undefined) return true;
  return input.nowMs - input.lastChangeMs >= minIntervalMs;
}

function computeMix(
  input: PlannerInput,
  windowMs: number,
): WorkloadMix | undefined {
  const samples = input.demand.filter((sample) =>
    sample.toMs > input.nowMs - windowMs
  );
  const spanMs = sumOf(samples, (sample) => sample.toMs - sample.fromMs);
  if (spanMs < windowMs / 2) return undefined;
  const seconds = spanMs / msPerSecond;
  return {
    requests: sumOf(samples, (sample) => sample.requests) / seconds,
    promptTokens: sumOf(samples, (sample) => sample.promptTokens) / seconds,
    outputTokens: sumOf(samples, (sample) => sample.outputTokens) / seconds,
  };
}

function sumOf(
  samples: readonly DemandSample[],
  get: (sample: DemandSample) => number,
): number {
  return samples.reduce((sum, sample) => sum + get(sample), 0);
}

function countRoles(engines: readonly PlannerEngine[]): RoleCounts {
  const counts = {
    [EngineRole.Prefill]: 0,
    [EngineRole.Decode]: 0,
    [EngineRole.Mixed]: 0,
  };
  for (const engine of engines) counts[engine.role] += 1;
  return counts;
}

function addRole(
  counts: RoleCounts,
  [role, change]: readonly [EngineRole, number],
): RoleCounts {
  return { ...counts, [role]: counts[role] + change };
}

/** All changes of up to `maxMoves` engines that satisfy the pool's floors. */
function listPlans(
  counts: RoleCounts,
  input: PlannerInput,
): readonly Plan[] {
  const plans: Plan[] = [];
  for (const from of Object.values(EngineRole)) {
    for (const to of targetRoles) {
      if (from === to) continue;
      for (let moves = 1; moves <= maxMoves; moves++) {
        if (counts[from] < moves) continue;
        const moved = addRole(addRole(counts, [from, -moves]), [to, moves]);
        if (!hasFloors(moved, input)) continue;
        if (!hasFloors(addRole(counts, [from, -1]), input)) continue;
        plans.push({ counts: moved, from, to, moves });
      }
    }
  }
  return plans;
}

function hasFloors(counts: RoleCounts, input: PlannerInput): boolean {
  const mixed = counts[EngineRole.Mixed];
  return counts[EngineRole.Prefill] + mixed >= input.pool.prefill_floor &&
    counts[EngineRole.Decode] + mixed >= input.pool.decode_floor;
}

/** The engine of the role with the fewest running requests to drain. */
function pickEngine(
  input: PlannerInput,
  role: EngineRole,
): PlannerEngine | undefined {
  const engines = input.engines.filter((engine) => engine.role === role);
  return engines.toSorted((left, right) =>
    (left.report?.running ?? 0) - (right.report?.running ?? 0) ||
    (left.name < right.name ? -1 : 1)
  )[0];
}
