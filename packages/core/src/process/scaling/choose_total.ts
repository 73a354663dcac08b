/**
 * Chooses how many endpoints a service should have and how many of them may not
 * be reclaimed. Answers a load that swings: the number grows at once and falls in
 * small steps, as an endpoint that goes takes its cached prompts with it. For the
 * same reason kinds are exchanged in small steps, or all at once before the first
 * call.
 */
import {
  countLeastRegular,
  countWithLoss,
  type PlanOptions,
} from "./plan_endpoints.ts";

/** What is known of a service's load and endpoints. */
export interface ServiceState {
  /** Endpoints that serve the load well; 0 without any load. */
  readonly need: number;
  /** Number planned so far; undefined before the first plan. */
  readonly total: number | undefined;
  /** For how long there has been a load, in ms. */
  readonly observedMs: number;
  /** Whether endpoints may be given back now. */
  readonly mayShrink: boolean;
}

/** Time for which there has to be a load until endpoints are given back, in ms: a whole swing of it. */
export const peakSpanMs = 12_000;
/** Part of the endpoints that may be too many before any is given back. */
const slackShare = 0.15;
/** Largest part of the endpoints that is given back or exchanged at once: the others compute their cached prompts again beside the load. */
const stepShare = 0.1;

/** Number of endpoints that a service should have in all. */
export function chooseTotal(
  { need, total: planned, observedMs, mayShrink }: ServiceState,
  options: PlanOptions,
): number {
  const { regular, present } = countPresent(options);
  // What others have ordered stays until there is a load; the list may fill up only now.
  if (need === 0) return Math.max(planned ?? present, regular);
  const total = planned ?? present;
  const wanted = countWithLoss(need, options);
  if (wanted >= total) return wanted;
  const isNear = wanted > total * (1 - slackShare);
  // Endpoints that were exchanged leave first.
  const isExchanging = present > total;
  if (!mayShrink || isExchanging || observedMs < peakSpanMs || isNear) {
    return total;
  }
  return Math.max(wanted, total - countStep(total));
}

/** Number of endpoints that may not be reclaimed, of `total`. */
export function chooseRegular(
  total: number,
  { need, options }: {
    readonly need: number;
    readonly options: PlanOptions;
  },
): number {
  const least = countLeastRegular(total, options);
  if (need === 0) return least;
  const { regular, present } = countPresent(options);
  const leaving = Math.max(present - total, countStep(total));
  return Math.min(Math.max(least, regular - leaving), total);
}

function countStep(total: number): number {
  return Math.max(Math.floor(total * stepShare), 1);
}

function countPresent(
  { domains }: PlanOptions,
): { readonly regular: number; readonly present: number } {
  let regular = 0;
  let present = 0;
  for (const domain of domains) {
    regular += domain.regular;
    present += domain.regular + domain.reclaimable;
  }
  return { regular, present };
}
