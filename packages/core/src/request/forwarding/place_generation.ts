/**
 * Chooses the engine of a call's prefill and the one of its decode. Prompts
 * with shared parts go to the same engines: all instances use the same
 * rendezvous hash and exchange which engines have which parts cached.
 */
import {
  EngineRole,
  type GenerationWork,
  type ListedEndpoint,
  type ServiceName,
} from "../../types/index.ts";
import type { PromptSpeeds } from "../../process/capacities/index.ts";
import type { Backlogs, EndpointTracker } from "../../process/fleet/index.ts";
import {
  estimateBacklogMs,
  estimateDistanceMs,
  estimatePrefills,
  type PrefillEstimate,
} from "./estimate_reads.ts";

/** The engine chosen for a prompt's prefill, with its estimates. */
export interface Placement {
  /** Engine that computes the prompt. */
  readonly engine: ListedEndpoint;
  /** Whether that engine exports the computed prompt to another engine that generates. */
  readonly exports: boolean;
  /** Prompt tokens missing in its KV cache, weighted by the context that each attends to. */
  readonly tokens: number;
  /** Engine from which it first copies cached parts that it lacks. */
  readonly copyFrom?: ListedEndpoint;
  /** Expected time until the generation can begin, including the queue, in ms. */
  readonly readMs: number;
  /** Part of that time spent in the queue behind other prompts, in ms. */
  readonly queueMs: number;
  /** Time for which the engine is busy with the prompt itself, in ms. */
  readonly computeMs: number;
  /** Whether the goal for the first event cannot be met, so that calls that can meet theirs have priority. */
  readonly late: boolean;
}

/** Engines, their load and the exclusions that a placement is based on. */
export interface PlacementOptions {
  readonly service: ServiceName;
  readonly engines: readonly ListedEndpoint[];
  readonly exclude: ReadonlySet<string>;
  readonly endpointTracker: EndpointTracker;
  readonly prompts: Pick<
    PromptSpeeds,
    "getTokensPerMs" | "getMeanTokensPerMs" | "getFixedMs"
  >;
  /** Backlogs by which queues are estimated; absent where digests are recent enough. */
  readonly backlogs?: Backlogs;
  readonly ownDomain: string;
  /** Whether an open connection to the engine is available. */
  readonly isConnected: (engine: ListedEndpoint) => boolean;
}

/** Time that an export adds to the prefill, in ms: network, setup and the KV cache transfer. */
const exportOverheadMs = 40;
/** Delay of each concurrent generation on the engine per ms of prefill, in ms. */
const delayPerGeneration = 0.3;
/** Share of an engine's slots from which on it counts as full, so that new generations wait `fullPenaltyMs`. */
const fullShare = 0.95;
const fullPenaltyMs = 500;
/** Penalty for having to open a new connection, in ms: its cost in relation to that of late answers. */
const connectPenaltyMs = 25;
/** Part of the time left for the goal within which a prompt has to be expected in the own failure domain to stay there. */
const nearGoalShare = 0.5;
/** Penalty per call open at an engine, in ms, as each generation slows its decode steps. */
const stepDelayPerCallMs = 1;

/** Chooses a placement, marked late if the goal cannot be met; undefined if no engine generates. */
export function placeGeneration(
  work: GenerationWork,
  options: PlacementOptions & {
    /** Time until the goal for the first event, in ms. */
    readonly goalLeftMs: number;
  },
): Placement | undefined {
  const near = placeNear(work, options);
  if (near) return near;
  const inTime = choosePlacement(work, { ...options, late: false });
  if (!inTime || inTime.readMs <= options.goalLeftMs) return inTime;
  return choosePlacement(work, { ...options, late: true });
}

/** Chooses a placement whose prompt stays in the own failure domain, where queues are known best; undefined where the goal is not met there with time to spare. */
function placeNear(
  work: GenerationWork,
  options: PlacementOptions & { readonly goalLeftMs: number },
): Placement | undefined {
  if (!options.backlogs) return undefined;
  const placement = choosePlacement(work, {
    ...options,
    late: false,
    promptDomain: options.ownDomain,
  });
  const isSafe = placement &&
    placement.readMs <= options.goalLeftMs * nearGoalShare;
  return isSafe ? placement : undefined;
}

/** Chooses the engine that generates from a prompt exported by `exporter`, of the same software version; undefined if there is none. */
export function pickGenerator(
  exporter: ListedEndpoint,
  options: PlacementOptions,
): ListedEndpoint | undefined {
  const candidates = estimateGenerators(
    listGenerating(listUsable(options)),
    options,
  );
  return pickNearGenerator(exporter, candidates)?.engine;
}

/** An engine that may generate, with the costs that do not depend on where the prompt was computed. */
interface GeneratorEstimate {
  readonly engine: ListedEndpoint;
  /** Expected time until the generation can begin, in ms. */
  readonly waitMs: number;
  /** That time and the penalty for a new connection, in ms. */
  readonly cost: number;
}

function estimateGenerators(
  engines: readonly ListedEndpoint[],
  options: PlacementOptions,
): readonly GeneratorEstimate[] {
  return engines.map((engine) => {
    const waitMs = estimateLoadPenaltyMs(engine, options) +
      estimateBacklogMs(engine, options);
    const connectMs = options.isConnected(engine) ? 0 : connectPenaltyMs;
    return { engine, waitMs, cost: waitMs + connectMs };
  });
}

function pickNearGenerator(
  exporter: ListedEndpoint,
  candidates: readonly GeneratorEstimate[],
): GeneratorEstimate | undefined {
  let cheapest: GeneratorEstimate | undefined;
  let lowest = Infinity;
  for (const candidate of candidates) {
    const { engine } = candidate;
    if (engine.softwareVersion !== exporter.softwareVersion) continue;
    const cost = candidate.cost + estimateDistanceMs(engine, exporter);
    if (cheapest && cost >= lowest) continue;
    cheapest = candidate;
    lowest = cost;
  }
  return cheapest;
}

/** Returns a function that chooses the generator once for all exporters of one failure domain and software version. */
function createGeneratorChoice(
  candidates: readonly GeneratorEstimate[],
): (exporter: ListedEndpoint) => GeneratorEstimate | undefined {
  const chosen = new Map<string, GeneratorEstimate | undefined>();
  return (exporter) => {
    const { failureDomain, softwareVersion } = exporter;
    const key = JSON.stringify([failureDomain, softwareVersion]);
    if (!chosen.has(key)) {
      chosen.set(key, pickNearGenerator(exporter, candidates));
    }
    return chosen.get(key);
  };
}

function choosePlacement(
  work: GenerationWork,
  options: PlacementOptions & {
    readonly late: boolean;
    /** Failure domain of the engine that computes the prompt; any if absent. */
    readonly promptDomain?: string;
  },
): Placement | undefined {
  const usable = listUsable(options);
  const generating = listGenerating(usable);
  if (generating.length === 0) return undefined;
  const mayCompute = ({ failureDomain }: ListedEndpoint): boolean =>
    options.promptDomain === undefined ||
    failureDomain === options.promptDomain;
  const exporting = usable.filter((engine) =>
    engine.role === EngineRole.Prefill && mayCompute(engine)
  );
  const computing = generating.filter(mayCompute);
  const direct = pickCheapest(
    estimatePrefills(work, computing, options).map((read) => ({
      read,
      cost: read.cost + estimateInterferenceMs(read, options) +
        estimateLoadPenaltyMs(read.engine, options),
    })),
  );
  const chooseGenerator = createGeneratorChoice(
    estimateGenerators(generating, options),
  );
  const exported = pickCheapest(
    estimatePrefills(work, exporting, options).flatMap((read) => {
      const generator = chooseGenerator(read.engine);
      if (!generator) return [];
      const afterMs = exportOverheadMs + generator.waitMs;
      return [{
        read: { ...read, ms: read.ms + afterMs },
        cost: read.cost + afterMs,
      }];
    }),
  );
  if (exported && (!direct || exported.cost < direct.cost)) {
    return buildPlacement(exported.read, true, options);
  }
  return direct && buildPlacement(direct.read, false, options);
}

/** Total delay that a prefill causes to the generations at the same engine, in ms. */
function estimateInterferenceMs(
  read: PrefillEstimate,
  options: PlacementOptions,
): number {
  const { calls } = options.endpointTracker.getLoad(read.engine.name);
  return read.ms * calls * delayPerGeneration;
}

function buildPlacement(
  read: PrefillEstimate,
  exports: boolean,
  { late }: { readonly late: boolean },
): Placement {
  return {
    engine: read.engine,
    exports,
    tokens: read.tokens,
    copyFrom: read.copyFrom,
    readMs: read.ms,
    queueMs: read.queueMs,
    computeMs: read.computeMs,
    late,
  };
}

function listGenerating(
  engines: readonly ListedEndpoint[],
): readonly ListedEndpoint[] {
  return engines.filter(({ role }) => role !== EngineRole.Prefill);
}

/** Engines that the call has not excluded; includes suspended ones only if no other engine generates. */
function listUsable(options: PlacementOptions): readonly ListedEndpoint[] {
  const allowed = options.engines.filter(({ name }) =>
    !options.exclude.has(name)
  );
  const healthy = allowed.filter(({ name }) =>
    !options.endpointTracker.isSuspended(name)
  );
  return listGenerating(healthy).length > 0 ? healthy : allowed;
}

function estimateLoadPenaltyMs(
  engine: ListedEndpoint,
  options: PlacementOptions,
): number {
  const { calls } = options.endpointTracker.getLoad(engine.name);
  const fullMs = calls >= engine.slots * fullShare ? fullPenaltyMs : 0;
  return calls * stepDelayPerCallMs + fullMs;
}

function pickCheapest<T extends { readonly cost: number }>(
  candidates: readonly T[],
): T | undefined {
  let cheapest: T | undefined;
  for (const candidate of candidates) {
    if (!cheapest || candidate.cost < cheapest.cost) cheapest = candidate;
  }
  return cheapest;
}
