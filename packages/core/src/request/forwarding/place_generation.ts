/**
 * Chooses the engine that generates and, where that is sooner, another one
 * that computes the prompt first. Prompts that share parts go to the same
 * engines, which all instances find by the same hash without talking.
 */
import {
  EngineRole,
  type GenerationWork,
  type ListedEndpoint,
  type PromptPart,
  type ServiceName,
} from "../../types/index.ts";
import type {
  EndpointBoard,
  ReadSpeeds,
} from "../../process/fleet/index.ts";
import { sortByRendezvous } from "../routing/index.ts";

/** Where a generation runs. */
export interface Placement {
  readonly engine: ListedEndpoint;
  /** Prompt tokens that `engine` itself has to compute. */
  readonly readTokens: number;
  /** Engine that computes the prompt and exports it. */
  readonly exporter?: ListedEndpoint;
  /** Prompt tokens that the exporter has to compute. */
  readonly exportTokens: number;
  /** Engine from which the first of the two copies parts that it lacks. */
  readonly copyFrom?: ListedEndpoint;
  /** Expected time until the prompt is computed and in place, in ms. */
  readonly readMs: number;
}

/** Circumstances of a placement. */
export interface PlacementOptions {
  readonly service: ServiceName;
  readonly engines: readonly ListedEndpoint[];
  readonly exclude: ReadonlySet<string>;
  readonly board: EndpointBoard;
  readonly speeds: ReadSpeeds;
  readonly ownDomain: string;
}

/**
 * An engine that generates computes prompts this much slower than one that
 * only computes: half the speed, and a step of the others between two pieces.
 */
const generatingReadFactor = 3;
/** Time of an export besides computing, in ms: links, setup and the move of the memory. */
const exportOverheadMs = 40;
/** Time by which another failure domain is worse, in ms: a round trip and dearer moves. */
const otherDomainMs = 15;
/** Time by which a prompt computed between others' tokens delays these, in ms for each of its ms. */
const interferenceShare = 1;
/** Time by which an engine other than the home of a prompt's parts is worse, in ms. */
const awayFromHomeMs = 60;
/** Weight of tokens that another engine holds. */
const readAgainWeight = 1.5;
/** Time after which a prompt that was sent to an engine is taken to be computed, in ms. */
const settledReadMs = 1_000;
/** Shared tokens for which a copy from another engine is worth its setup. */
const leastCopyTokens = 1_000;
/** Time of a copy besides its bytes, in ms. */
const copySetupMs = 30;
/** Tokens that engines copy from each other in a ms, with room for dearer links. */
const copyTokensPerMs = 200;
/** Share of an engine's slots above which new generations wait. */
const fullShare = 0.95;
const fullWaitMs = 500;
/** Slower steps for each generation that runs there, in ms. */
const perRunMs = 1;

interface Read {
  readonly engine: ListedEndpoint;
  readonly tokens: number;
  readonly ms: number;
  readonly copyFrom?: ListedEndpoint;
}

/** What the engines hold of a prompt. */
interface Holdings {
  /** Fewest prompt tokens that any engine lacks. */
  readonly leastUnseen: number;
  /** Engine from which parts can be copied. */
  readonly source?: ListedEndpoint;
  /** Tokens that can be copied from it. */
  readonly copyable: number;
}

/** Chooses a placement; undefined where no engine generates. */
export function placeGeneration(
  work: GenerationWork,
  options: PlacementOptions,
): Placement | undefined {
  const usable = pickUsable(options);
  const generating = usable.filter(({ role }) => role !== EngineRole.Prefill);
  if (generating.length === 0) return undefined;
  const exporting = usable.filter(({ role }) => role === EngineRole.Prefill);
  const holdings = findHoldings(work, usable, options);
  const direct = pickLeast(
    estimateReads(work, generating, { ...options, holdings }).map((read) => ({
      read,
      cost: read.ms * (1 + interferenceShare) +
        options.board.getLoad(read.engine.name).calls * perRunMs,
    })),
  );
  const exported = pickLeast(
    estimateReads(work, exporting, { ...options, holdings }).map((read) => ({
      read,
      cost: read.ms + exportOverheadMs,
    })),
  );
  const target = exported &&
    pickTarget(generating, exported.read.engine, options);
  if (exported && target && (!direct || isSooner(exported, target, direct))) {
    return {
      engine: target.engine,
      readTokens: 0,
      exporter: exported.read.engine,
      exportTokens: exported.read.tokens,
      copyFrom: exported.read.copyFrom,
      readMs: exported.cost + target.cost,
    };
  }
  return direct && {
    engine: direct.read.engine,
    readTokens: direct.read.tokens,
    exportTokens: 0,
    copyFrom: direct.read.copyFrom,
    readMs: direct.cost,
  };
}

function isSooner(
  exported: { readonly cost: number },
  target: { readonly cost: number },
  direct: { readonly cost: number },
): boolean {
  return exported.cost + target.cost < direct.cost;
}

/** Engines that did not fail the call; suspended ones only where no other is left. */
function pickUsable(options: PlacementOptions): readonly ListedEndpoint[] {
  const allowed = options.engines.filter(({ name }) =>
    !options.exclude.has(name)
  );
  const healthy = allowed.filter(({ name }) =>
    !options.board.isSuspended(name)
  );
  const generates = healthy.some(({ role }) => role !== EngineRole.Prefill);
  return generates ? healthy : allowed;
}

/** Prompt tokens that an engine would have to compute. */
function countUnseen(
  work: GenerationWork,
  engine: ListedEndpoint,
  options: PlacementOptions,
): number {
  const seen = options.board.countSeenTokens(engine.name, work.parts);
  return Math.max(work.promptTokens - seen, 1);
}

function findHoldings(
  work: GenerationWork,
  engines: readonly ListedEndpoint[],
  options: PlacementOptions,
): Holdings {
  let leastUnseen = work.promptTokens;
  let source: ListedEndpoint | undefined;
  let copyable = 0;
  for (const engine of engines) {
    const unseen = countUnseen(work, engine, options);
    leastUnseen = Math.min(leastUnseen, unseen);
    const settled = options.board.countSeenTokens(engine.name, work.parts, {
      settledMs: settledReadMs,
    });
    if (settled > copyable) {
      copyable = settled;
      source = engine;
    }
  }
  return { leastUnseen, source, copyable };
}

/** What each engine would have to compute, and how long that takes with what is ahead. */
function estimateReads(
  work: GenerationWork,
  engines: readonly ListedEndpoint[],
  options: PlacementOptions & { readonly holdings: Holdings },
): readonly Read[] {
  const { holdings } = options;
  const home = findHome(work.parts.slice(0, -1), engines);
  const speed = options.speeds.getTokensPerMs(options.service);
  return engines.map((engine) => {
    const unseen = countUnseen(work, engine, options);
    const copied = unseen - (work.promptTokens - holdings.copyable);
    const copies = copied >= leastCopyTokens;
    const tokens = copies ? unseen - copied : unseen;
    // Computing what another engine holds delays all that wait behind it.
    const again = Math.max(tokens - holdings.leastUnseen, 0) * readAgainWeight;
    const { readTokens } = options.board.getLoad(engine.name);
    const factor = engine.role === EngineRole.Prefill
      ? 1
      : generatingReadFactor;
    const domainMs = engine.failureDomain === options.ownDomain
      ? 0
      : otherDomainMs;
    // Without a known holder of its parts, a prompt founds them at its home.
    const awayMs = engine.name === home ? 0 : awayFromHomeMs;
    const copyMs = copies ? copySetupMs + copied / copyTokensPerMs : 0;
    return {
      engine,
      tokens,
      ms: (readTokens + tokens + again) * factor / speed + domainMs + awayMs +
        copyMs,
      copyFrom: copies ? holdings.source : undefined,
    };
  });
}

/** Engine that the prompt's shared parts belong to. */
function findHome(
  shared: readonly PromptPart[],
  engines: readonly ListedEndpoint[],
): string | undefined {
  const last = shared.at(-1);
  if (!last) return undefined;
  return sortByRendezvous(last.id, engines.map(({ name }) => name))[0];
}

function pickTarget(
  generating: readonly ListedEndpoint[],
  exporter: ListedEndpoint,
  options: PlacementOptions,
): { readonly engine: ListedEndpoint; readonly cost: number } | undefined {
  return pickLeast(generating.map((engine) => ({
    engine,
    cost: estimateRunMs(engine, options) +
      (engine.failureDomain === exporter.failureDomain ? 0 : otherDomainMs),
  })));
}

function estimateRunMs(
  engine: ListedEndpoint,
  options: PlacementOptions,
): number {
  const { calls, readTokens } = options.board.getLoad(engine.name);
  const fullMs = calls >= engine.slots * fullShare ? fullWaitMs : 0;
  const speed = options.speeds.getTokensPerMs(options.service);
  return calls * perRunMs + fullMs +
    readTokens * generatingReadFactor / speed;
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
