/** Estimates for each engine the time of a prompt's prefill and the delay that it causes to other calls. */
import {
  EngineRole,
  type GenerationWork,
  type ListedEndpoint,
  type PromptPart,
} from "../../types/index.ts";
import { initialFixedMs } from "../../process/capacities/index.ts";
import { findByRendezvous } from "../routing/index.ts";
import type { PlacementOptions } from "./place_generation.ts";

/** Estimated prefill of a prompt at one engine. */
export interface PrefillEstimate {
  readonly engine: ListedEndpoint;
  /** Prompt tokens missing in the engine's KV cache, weighted by the context that each attends to. */
  readonly tokens: number;
  /** Time until the prefill is complete, including the queue before it, in ms. */
  readonly ms: number;
  /** Part of that time spent in the queue behind other prompts, in ms. */
  readonly queueMs: number;
  /** Part of it for which the engine is busy with the prompt itself, in ms. */
  readonly computeMs: number;
  /** Time until completion plus penalties for recomputed tokens and for an engine other than the home, in ms. */
  readonly cost: number;
  /** Engine from which it first copies cached parts that it lacks. */
  readonly copyFrom?: ListedEndpoint;
}

/** Which parts of a prompt the engines have in their KV caches. */
interface CacheCoverage {
  /** Missing prompt tokens of the engine that lacks the fewest. */
  readonly minMissingTokens: number;
  /** Engine with the most computed tokens, from which others can copy. */
  readonly source?: ListedEndpoint;
  /** Tokens that can be copied from it. */
  readonly copyableTokens: number;
}

/**
 * Factor by which prefill is slower on an engine that also generates: it runs
 * at half the speed and interleaves a decode step between two chunks.
 */
const generatingPrefillFactor = 3;
/** Penalty for another failure domain, in ms: a round trip and slower KV cache transfers. */
const otherDomainPenaltyMs = 15;
/** Penalty for an engine other than the home of the prompt's shared parts, in ms. */
const awayFromHomePenaltyMs = 60;
/** Weight of recomputing tokens that another engine has cached: it delays every prompt in the queue behind. */
const recomputeWeight = 1.5;
/** Share of the late prompts' tokens that counts as queued ahead of a prompt that is in time. */
export const lateAheadShare = 0.4;
/** Context length at which computing a token takes twice as long, in tokens. */
const attentionDoublingTokens = 50_000;
/** Fewest tokens for which a copy from another engine is worth its setup time. */
const minCopyTokens = 1_000;
/** Fixed time of a copy, without the transfer of its bytes, in ms. */
const copySetupMs = 30;
/** Copy rate between engines, in tokens per ms, with a margin for slower links. */
const copyTokensPerMs = 200;

/** Estimates the prefill at each of `engines`; `late` prompts queue behind all others. */
export function estimatePrefills(
  call: GenerationWork,
  engines: readonly ListedEndpoint[],
  options: PlacementOptions & { readonly late: boolean },
): readonly PrefillEstimate[] {
  const coverages = new Map<string | undefined, CacheCoverage>();
  const home = findHomeEngine(call.parts.slice(0, -1), engines);
  const prompt = call.promptTokens;
  const queues = estimateQueues(engines, options);
  const fixedMs = options.backlogs
    ? Math.max(options.prompts.getFixedMs(options.service) - initialFixedMs, 0)
    : 0;
  return engines.map((engine) => {
    const { softwareVersion } = engine;
    const coverage = coverages.get(softwareVersion) ??
      findCoverage(call, softwareVersion, options);
    coverages.set(softwareVersion, coverage);
    const missingTokens = countMissingTokens(call, engine, options);
    const copiedTokens = missingTokens - (prompt - coverage.copyableTokens);
    const copies = copiedTokens >= minCopyTokens;
    const tokens = copies ? missingTokens - copiedTokens : missingTokens;
    const recomputePenaltyTokens =
      Math.max(tokens - coverage.minMissingTokens, 0) *
      recomputeWeight;
    const msPerToken = estimateMsPerToken(engine, options);
    const copyMs = copies ? copySetupMs + copiedTokens / copyTokensPerMs : 0;
    const queueMs = queues.get(engine.name) ?? 0;
    const weightedTokens = tokens *
      (1 + (prompt - tokens / 2) / attentionDoublingTokens);
    const computeMs = weightedTokens * msPerToken + copyMs;
    const ms = queueMs + computeMs + fixedMs +
      (engine.failureDomain === options.ownDomain ? 0 : otherDomainPenaltyMs);
    // The home makes instances choose the same engine while no engine has the parts cached.
    const homePenaltyMs = engine.name === home ? 0 : awayFromHomePenaltyMs;
    return {
      engine,
      tokens: weightedTokens,
      ms,
      queueMs,
      computeMs,
      cost: ms + recomputePenaltyTokens * msPerToken + homePenaltyMs,
      copyFrom: copies ? coverage.source : undefined,
    };
  });
}

/** Time for which each engine is busy with the prompts ahead, in ms. */
function estimateQueues(
  engines: readonly ListedEndpoint[],
  options: PlacementOptions & { readonly late: boolean },
): ReadonlyMap<string, number> {
  const { backlogs, ownDomain } = options;
  const reported = estimateTrackedQueues(engines, options);
  if (!backlogs) return reported;
  // Only the own domain's instances tell at once what they place: an engine elsewhere is assumed to be as busy as its domain's are on the mean.
  const means = new Map<string, { sumMs: number; engines: number }>();
  for (const { name, failureDomain } of engines) {
    const mean = means.get(failureDomain) ?? { sumMs: 0, engines: 0 };
    mean.sumMs += reported.get(name) ?? 0;
    mean.engines += 1;
    means.set(failureDomain, mean);
  }
  return new Map(engines.map(({ name, failureDomain }) => {
    const knownMs = backlogs.getMs(name);
    if (failureDomain === ownDomain) return [name, knownMs];
    const { sumMs = 0, engines: count = 1 } = means.get(failureDomain) ?? {};
    return [name, Math.max(knownMs, sumMs / count)];
  }));
}

/** The same by the calls that digests report. */
function estimateTrackedQueues(
  engines: readonly ListedEndpoint[],
  options: PlacementOptions & { readonly late: boolean },
): ReadonlyMap<string, number> {
  return new Map(engines.map((engine) => {
    const { readTokens, lateTokens } = options.endpointTracker.getLoad(
      engine.name,
    );
    // A late prompt whose prefill has begun is not preempted, so some count as ahead.
    const tokens = readTokens +
      lateTokens * (options.late ? 1 : lateAheadShare);
    return [engine.name, tokens * estimateMsPerToken(engine, options)];
  }));
}

/** Time until an engine has computed its queued prompts that are not late, in ms. */
export function estimateBacklogMs(
  engine: ListedEndpoint,
  options: PlacementOptions,
): number {
  const { readTokens } = options.endpointTracker.getLoad(engine.name);
  return readTokens * estimateMsPerToken(engine, options);
}

/** Penalty for two engines in different failure domains, in ms; 0 within one domain. */
export function estimateDistanceMs(
  engine: ListedEndpoint,
  from: ListedEndpoint,
): number {
  return engine.failureDomain === from.failureDomain ? 0 : otherDomainPenaltyMs;
}

/** Time for one prompt token at the engine, in ms: by its own speed where queues are known at once, and by the mean otherwise, which holds what digests do not tell in time. */
function estimateMsPerToken(
  engine: ListedEndpoint,
  { prompts, service, backlogs }: PlacementOptions,
): number {
  const tokensPerMs = backlogs
    ? prompts.getTokensPerMs(service, engine.name)
    : prompts.getMeanTokensPerMs(service);
  return getPrefillFactor(engine) / tokensPerMs;
}

function getPrefillFactor(engine: ListedEndpoint): number {
  return engine.role === EngineRole.Prefill ? 1 : generatingPrefillFactor;
}

/** Prompt tokens that an engine has not cached and would have to compute; at least 1. */
function countMissingTokens(
  work: GenerationWork,
  engine: ListedEndpoint,
  options: PlacementOptions,
): number {
  const seen = options.endpointTracker.countCachedTokens(
    engine.name,
    work.parts,
  );
  return Math.max(work.promptTokens - seen, 1);
}

/** Finds what engines of one software version have cached; versions cannot read each other's caches. */
function findCoverage(
  work: GenerationWork,
  softwareVersion: string | undefined,
  options: PlacementOptions,
): CacheCoverage {
  let minMissingTokens = work.promptTokens;
  let source: ListedEndpoint | undefined;
  let copyableTokens = 0;
  for (const engine of options.engines) {
    if (engine.softwareVersion !== softwareVersion) continue;
    if (options.endpointTracker.isSuspended(engine.name)) continue;
    minMissingTokens = Math.min(
      minMissingTokens,
      countMissingTokens(work, engine, options),
    );
    const computedTokens = options.endpointTracker.countCachedTokens(
      engine.name,
      work.parts,
      {
        computed: true,
      },
    );
    if (computedTokens > copyableTokens) {
      copyableTokens = computedTokens;
      source = engine;
    }
  }
  return {
    minMissingTokens: minMissingTokens,
    source,
    copyableTokens: copyableTokens,
  };
}

/** Name of the engine that rendezvous hashing assigns to the last shared part; undefined without shared parts. */
function findHomeEngine(
  shared: readonly PromptPart[],
  engines: readonly ListedEndpoint[],
): string | undefined {
  const last = shared.at(-1);
  if (!last) return undefined;
  return findByRendezvous(last.id, engines.map(({ name }) => name));
}
