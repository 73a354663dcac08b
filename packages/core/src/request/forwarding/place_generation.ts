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

/** An engine that generates computes prompts this much slower than one that only computes. */
const generatingReadFactor = 2;
/** Time of an export besides computing, in ms: links, setup and the move of the memory. */
const exportOverheadMs = 40;
/** Time by which another failure domain is worse, in ms: a round trip and dearer moves. */
const otherDomainMs = 15;
/** Time by which a prompt computed between others' tokens delays these, in ms for each of its ms. */
const interferenceShare = 0.3;
/** Share of an engine's slots above which new generations wait. */
const fullShare = 0.95;
const fullWaitMs = 500;
/** Slower steps for each generation that runs there, in ms. */
const perRunMs = 1;

interface Read {
  readonly engine: ListedEndpoint;
  readonly tokens: number;
  readonly ms: number;
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
  const direct = pickLeast(
    estimateReads(work, generating, options).map((read) => ({
      read,
      cost: read.ms * (1 + interferenceShare) +
        estimateRunMs(read.engine, options),
    })),
  );
  const exported = pickLeast(
    estimateReads(work, exporting, options).map((read) => ({
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
      readMs: exported.cost + target.cost,
    };
  }
  return direct && {
    engine: direct.read.engine,
    readTokens: direct.read.tokens,
    exportTokens: 0,
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

/** What each engine would have to compute, and how long that takes with what is ahead. */
function estimateReads(
  work: GenerationWork,
  engines: readonly ListedEndpoint[],
  options: PlacementOptions,
): readonly Read[] {
  const shared = work.parts.slice(0, -1);
  const home = findHome(shared, engines);
  const speed = options.speeds.getTokensPerMs(options.service);
  return engines.map((engine) => {
    const seen = options.board.countSeenTokens(engine.name, work.parts);
    const atHome = engine.name === home ? countTokens(shared) : 0;
    const tokens = Math.max(work.promptTokens - Math.max(seen, atHome), 1);
    const { readTokens } = options.board.getLoad(engine.name);
    const factor = engine.role === EngineRole.Prefill
      ? 1
      : generatingReadFactor;
    const domainMs = engine.failureDomain === options.ownDomain
      ? 0
      : otherDomainMs;
    return {
      engine,
      tokens,
      ms: (readTokens + tokens) * factor / speed + domainMs,
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
  const { calls } = options.board.getLoad(engine.name);
  const fullMs = calls >= engine.slots * fullShare ? fullWaitMs : 0;
  return calls * perRunMs + fullMs;
}

function countTokens(parts: readonly PromptPart[]): number {
  return parts.reduce((sum, part) => sum + part.tokens, 0);
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
