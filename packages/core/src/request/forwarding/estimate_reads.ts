/** Estimates when engines would have computed a prompt, and at whose cost. */
import {
  EngineRole,
  type GenerationWork,
  type ListedEndpoint,
  type PromptPart,
} from "../../types/index.ts";
import { sortByRendezvous } from "../routing/index.ts";
import type { PlacementOptions } from "./place_generation.ts";

/** Computation of a prompt at one engine. */
export interface Read {
  readonly engine: ListedEndpoint;
  /** Prompt tokens that the engine has to compute, weighted by the context that each attends to. */
  readonly tokens: number;
  /** Time until they are computed, with what is ahead, in ms. */
  readonly ms: number;
  /** The part of that time that the call waits for others, in ms. */
  readonly aheadMs: number;
  /** The whole time with what it costs the calls of others, in ms. */
  readonly cost: number;
  /** Engine from which it first copies parts that it lacks. */
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

/**
 * An engine that generates computes prompts this much slower than one that
 * only computes: half the speed, and a step of the others between two pieces.
 */
const generatingReadFactor = 3;
/** Time by which another failure domain is worse, in ms: a round trip and dearer moves. */
const otherDomainMs = 15;
/** Time by which an engine other than the home of a prompt's parts is worse, in ms. */
const awayFromHomeMs = 60;
/** Weight of tokens that another engine holds: computing them again delays all that wait behind. */
const readAgainWeight = 1.5;
/** Share of late prompts that is taken to be ahead of one in time. */
const lateShare = 0.4;
/** Tokens in context by which each computed token takes twice as long. */
const attentionTokens = 50_000;
/** Shared tokens for which a copy from another engine is worth its setup. */
const leastCopyTokens = 1_000;
/** Time of a copy besides its bytes, in ms. */
const copySetupMs = 30;
/** Tokens that engines copy from each other in a ms, with room for dearer links. */
const copyTokensPerMs = 200;

/** Estimates the computation of a prompt at each of the engines. */
export function estimateReads(
  call: GenerationWork,
  engines: readonly ListedEndpoint[],
  options: PlacementOptions & { readonly late: boolean },
): readonly Read[] {
  const { board } = options;
  const holdings = findHoldings(call, options);
  const home = findHome(call.parts.slice(0, -1), engines);
  const speed = options.speeds.getTokensPerMs(options.service);
  const prompt = call.promptTokens;
  return engines.map((engine) => {
    const unseen = countUnseen(call, engine, options);
    const copied = unseen - (prompt - holdings.copyable);
    const copies = copied >= leastCopyTokens;
    const tokens = copies ? unseen - copied : unseen;
    const again = Math.max(tokens - holdings.leastUnseen, 0) * readAgainWeight;
    const msPerToken = getReadFactor(engine) / speed;
    const copyMs = copies ? copySetupMs + copied / copyTokensPerMs : 0;
    const { readTokens, lateTokens } = board.getLoad(engine.name);
    // A late prompt that has begun is not interrupted.
    const ahead = readTokens + lateTokens * (options.late ? 1 : lateShare);
    const work = tokens * (1 + (prompt - tokens / 2) / attentionTokens);
    const ms = (ahead + work) * msPerToken + copyMs +
      (engine.failureDomain === options.ownDomain ? 0 : otherDomainMs);
    // Without a known holder of its parts, a prompt founds them at its home.
    const awayMs = engine.name === home ? 0 : awayFromHomeMs;
    return {
      engine,
      tokens: work,
      ms,
      aheadMs: ahead * msPerToken,
      cost: ms + again * msPerToken + awayMs,
      copyFrom: copies ? holdings.source : undefined,
    };
  });
}

/** Time for which prompts that an engine still has to compute delay its other work, in ms. */
export function estimateBacklogMs(
  engine: ListedEndpoint,
  options: PlacementOptions,
): number {
  const { readTokens } = options.board.getLoad(engine.name);
  const speed = options.speeds.getTokensPerMs(options.service);
  return readTokens * getReadFactor(engine) / speed;
}

/** Time by which an engine is farther from another than those of its failure domain, in ms. */
export function estimateDistanceMs(
  engine: ListedEndpoint,
  from: ListedEndpoint,
): number {
  return engine.failureDomain === from.failureDomain ? 0 : otherDomainMs;
}

function getReadFactor(engine: ListedEndpoint): number {
  return engine.role === EngineRole.Prefill ? 1 : generatingReadFactor;
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
  options: PlacementOptions,
): Holdings {
  let leastUnseen = work.promptTokens;
  let source: ListedEndpoint | undefined;
  let copyable = 0;
  for (const engine of options.engines) {
    if (options.board.isSuspended(engine.name)) continue;
    leastUnseen = Math.min(leastUnseen, countUnseen(work, engine, options));
    const settled = options.board.countSeenTokens(engine.name, work.parts, {
      computed: true,
    });
    if (settled > copyable) {
      copyable = settled;
      source = engine;
    }
  }
  return { leastUnseen, source, copyable };
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
