/**
 * Estimates how many endpoints the load of a service needs. Answers a load whose
 * rate swings within seconds, with bursts on top, while a new endpoint takes
 * seconds to serve: the highest rate of the last seconds counts, and engines are
 * used only as far as a prompt, with those that wait before it, is expected to be
 * computed within the callers' goal.
 */
import type { OfferedWork } from "../activity/index.ts";

/** Counters of a service over all instances at one moment. */
export interface ServiceSample {
  readonly atMs: number;
  readonly work: OfferedWork;
  /** Calls that are open at the service's endpoints. */
  readonly openCalls: number;
}

/** What endpoints of the service can do, and what callers expect of it. */
export interface NeedOptions {
  /** Prompt tokens that one engine computes per ms; undefined for plain services. */
  readonly tokensPerMs: number | undefined;
  /** Calls that one endpoint runs at a time. */
  readonly slots: number;
  /** Share of the engines that compute prompts, from 0 to 1; 0 for plain services. */
  readonly prefillShare: number;
  /** Shortest goal for the first event of the service's routes, in ms. */
  readonly goalMs: number;
}

/** Part of the slots that open calls may take: their number may double before more endpoints serve. */
const maxSlotUse = 0.5;
/** Bounds of the part of their time for which engines may compute prompts; with less, a prompt waits hardly shorter than half its own time. */
const minUse = 0.5;
const maxUse = 0.8;
/** Time over which a rate is taken, in ms. */
const rateSpanMs = 2_500;
/** Shortest span that gives a rate, in ms. */
const minSpanMs = 1_500;

/** Estimates the number of endpoints that serve the load well from samples, oldest first: 0 without any load, undefined while they are too few. */
export function estimateNeed(
  samples: readonly ServiceSample[],
  options: NeedOptions,
): number | undefined {
  const rates = listRates(samples);
  if (rates.length === 0) return undefined;
  const calls = Math.max(...rates.map((rate) => rate.calls));
  const openCalls = Math.max(...samples.map((sample) => sample.openCalls));
  if (calls === 0 && openCalls === 0) return 0;
  const { slots, prefillShare } = options;
  const generatingShare = Math.max(1 - prefillShare, 1 / slots);
  const bySlots = openCalls / Math.max(slots, 1) / generatingShare / maxSlotUse;
  return Math.ceil(Math.max(countByPrompts(rates, options), bySlots, 1));
}

/**
 * Part of its time for which an engine may compute prompts so that one is done
 * within the goal, by the mean wait in a queue with one server (formula of
 * Pollaczek and Khinchine).
 */
export function chooseUse(
  { promptMs, goalMs }: {
    /** Time to compute the prompt that a token is expected to belong to, in ms. */
    readonly promptMs: number;
    readonly goalMs: number;
  },
): number {
  const spareMs = goalMs - promptMs;
  if (spareMs <= 0) return minUse;
  const use = 1 / (1 + promptMs / (2 * spareMs));
  return Math.min(Math.max(use, minUse), maxUse);
}

interface Rate {
  /** Calls per ms. */
  readonly calls: number;
  /** Prompt tokens to compute per ms. */
  readonly missingTokens: number;
  /** Sum of the squares of each call's tokens, per ms. */
  readonly missingSquares: number;
}

/** Number of engines that compute the prompts of the highest rate in time. */
function countByPrompts(
  rates: readonly Rate[],
  { tokensPerMs, prefillShare, goalMs }: NeedOptions,
): number {
  if (!tokensPerMs || prefillShare <= 0) return 0;
  return Math.max(...rates.map(({ missingTokens, missingSquares }) => {
    if (missingTokens <= 0) return 0;
    const promptMs = missingSquares / missingTokens / tokensPerMs;
    const use = chooseUse({ promptMs, goalMs });
    return missingTokens / tokensPerMs / prefillShare / use;
  }));
}

function listRates(samples: readonly ServiceSample[]): readonly Rate[] {
  return samples.flatMap((sample, index) => {
    const from = samples.slice(0, index).find(({ atMs }) =>
      sample.atMs - atMs <= rateSpanMs
    );
    if (!from || sample.atMs - from.atMs < minSpanMs) return [];
    const ms = sample.atMs - from.atMs;
    const { calls, missingTokens, missingSquares } = sample.work;
    return [{
      calls: (calls - from.work.calls) / ms,
      missingTokens: (missingTokens - from.work.missingTokens) / ms,
      missingSquares: (missingSquares - from.work.missingSquares) / ms,
    }];
  });
}
