/**
 * Chooses the engine that computes a prompt, and the one that generates.
 * Prompts that share parts go to the same engines, which all instances find
 * by the same hash and by what they tell each other.
 */
import {
  EngineRole,
  type GenerationWork,
  type ListedEndpoint,
  type ServiceName,
} from "../../types/index.ts";
import type { EndpointBoard, ReadSpeeds } from "../../process/fleet/index.ts";
import {
  estimateBacklogMs,
  estimateDistanceMs,
  estimateReads,
  type Read,
} from "./estimate_reads.ts";

/** Where a prompt is computed. */
export interface Placement {
  /** Engine that computes the prompt. */
  readonly engine: ListedEndpoint;
  /** Whether it exports the prompt to another one that generates. */
  readonly exports: boolean;
  /** Prompt tokens that it has to compute, weighted by their context. */
  readonly tokens: number;
  /** Engine from which it first copies parts that it lacks. */
  readonly copyFrom?: ListedEndpoint;
  /** Expected time until the generation can begin, in ms. */
  readonly readMs: number;
  /** The part of that time that the call waits for others, in ms. */
  readonly aheadMs: number;
  /** Whether the goal is out of reach, so that calls in time go first. */
  readonly late: boolean;
}

/** Circumstances of a placement. */
export interface PlacementOptions {
  readonly service: ServiceName;
  readonly engines: readonly ListedEndpoint[];
  readonly exclude: ReadonlySet<string>;
  readonly board: EndpointBoard;
  readonly speeds: ReadSpeeds;
  readonly ownDomain: string;
  /** Whether a connection to the engine is at hand. */
  readonly isConnected: (engine: ListedEndpoint) => boolean;
}

/** Time of an export besides computing, in ms: links, setup and the move of the memory. */
const exportOverheadMs = 40;
/** Time by which a ms of computing a prompt delays each generation that runs beside it, in ms. */
const delayPerRun = 0.3;
/** Share of an engine's slots above which new generations wait. */
const fullShare = 0.95;
const fullWaitMs = 500;
/** Time by which a new connection is worse than one at hand, in ms: its price against that of late answers. */
const connectMs = 25;
/** Slower steps for each generation that runs at an engine, in ms. */
const perRunMs = 1;

/** Chooses a placement; undefined where no engine generates. */
export function placeGeneration(
  work: GenerationWork,
  options: PlacementOptions & {
    /** Time until the goal for the first event, in ms. */
    readonly goalLeftMs: number;
  },
): Placement | undefined {
  const inTime = placeRanked(work, { ...options, late: false });
  if (!inTime || inTime.readMs <= options.goalLeftMs) return inTime;
  return placeRanked(work, { ...options, late: true });
}

/** Chooses the engine that generates from an exported prompt. */
export function pickGenerator(
  exporter: ListedEndpoint,
  options: PlacementOptions,
): ListedEndpoint | undefined {
  return pickLeast(
    listGenerating(pickUsable(options)).map((engine) => ({
      engine,
      cost: estimateRunMs(engine, options) +
        estimateBacklogMs(engine, options) +
        estimateDistanceMs(engine, exporter) +
        (options.isConnected(engine) ? 0 : connectMs),
    })),
  )?.engine;
}

function placeRanked(
  work: GenerationWork,
  options: PlacementOptions & { readonly late: boolean },
): Placement | undefined {
  const usable = pickUsable(options);
  const generating = listGenerating(usable);
  if (generating.length === 0) return undefined;
  const exporting = usable.filter(({ role }) => role === EngineRole.Prefill);
  const direct = pickLeast(
    estimateReads(work, generating, options).map((read) => ({
      read,
      cost: read.cost + estimateDelayMs(read, options) +
        estimateRunMs(read.engine, options),
    })),
  );
  const exported = pickLeast(
    estimateReads(work, exporting, options).map((read) => {
      const generator = pickGenerator(read.engine, options);
      const afterMs = exportOverheadMs +
        (generator
          ? estimateRunMs(generator, options) +
            estimateBacklogMs(generator, options)
          : 0);
      return {
        read: { ...read, ms: read.ms + afterMs },
        cost: read.cost + afterMs,
      };
    }),
  );
  if (exported && (!direct || exported.cost < direct.cost)) {
    return buildPlacement(exported.read, true, options);
  }
  return direct && buildPlacement(direct.read, false, options);
}

/** Time that a prompt computed between others' tokens costs these, in ms. */
function estimateDelayMs(read: Read, options: PlacementOptions): number {
  const { calls } = options.board.getLoad(read.engine.name);
  return read.ms * calls * delayPerRun;
}

function buildPlacement(
  read: Read,
  exports: boolean,
  { late }: { readonly late: boolean },
): Placement {
  return {
    engine: read.engine,
    exports,
    tokens: read.tokens,
    copyFrom: read.copyFrom,
    readMs: read.ms,
    aheadMs: read.aheadMs,
    late,
  };
}

function listGenerating(
  engines: readonly ListedEndpoint[],
): readonly ListedEndpoint[] {
  return engines.filter(({ role }) => role !== EngineRole.Prefill);
}

/** Engines that did not fail the call; suspended ones only where no other generates. */
function pickUsable(options: PlacementOptions): readonly ListedEndpoint[] {
  const allowed = options.engines.filter(({ name }) =>
    !options.exclude.has(name)
  );
  const healthy = allowed.filter(({ name }) =>
    !options.board.isSuspended(name)
  );
  return listGenerating(healthy).length > 0 ? healthy : allowed;
}

function estimateRunMs(
  engine: ListedEndpoint,
  options: PlacementOptions,
): number {
  const { calls } = options.board.getLoad(engine.name);
  const fullMs = calls >= engine.slots * fullShare ? fullWaitMs : 0;
  return calls * perRunMs + fullMs;
}

function pickLeast<T extends { readonly cost: number }>(
  candidates: readonly T[],
): T | undefined {
  let least: T | undefined;
  for (const candidate of candidates) {
    if (!least || candidate.cost < least.cost) least = candidate;
  }
  return least;
}
