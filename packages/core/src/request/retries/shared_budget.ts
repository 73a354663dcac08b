/**
 * Budget of repeated calls that all instances share: in any window, a service
 * may get a fixed number of repeats and a fraction of its calls more. Each
 * instance spends its part without asking the others.
 */
import type { ServiceName } from "../../types/index.ts";

/** The whole budget of one service. */
export interface SharedBudgetLimits {
  /** Repeats for each call. */
  readonly ratio: number;
  /** Repeats besides, for all instances together. */
  readonly slack: number;
  readonly windowMs: number;
}

/** One instance's part of the budget. */
export interface SharedBudget {
  /** Counts a call of a caller. */
  readonly noteCall: (service: ServiceName) => void;
  /** Spends one repeat, or says no. */
  readonly allowRepeat: (service: ServiceName) => boolean;
}

/** Part of the budget that is spent; the rest covers instances that are not known. */
const usedShare = 0.7;

interface Usage {
  readonly calls: number[];
  readonly repeats: number[];
}

/** Creates the part of one instance. */
export function createSharedBudget(
  limits: SharedBudgetLimits,
  options: {
    /** Live instances, this one included. */
    readonly countInstances: () => number;
  },
): SharedBudget {
  const usages = new Map<ServiceName, Usage>();

  function getUsage(service: ServiceName): Usage {
    const known = usages.get(service) ?? { calls: [], repeats: [] };
    usages.set(service, known);
    const oldestMs = performance.now() - limits.windowMs;
    expireBefore(known.calls, oldestMs);
    expireBefore(known.repeats, oldestMs);
    return known;
  }

  function allowRepeat(service: ServiceName): boolean {
    const usage = getUsage(service);
    const allowed = usedShare *
      (limits.ratio * usage.calls.length +
        limits.slack / Math.max(options.countInstances(), 1));
    if (usage.repeats.length + 1 > allowed) return false;
    usage.repeats.push(performance.now());
    return true;
  }

  return {
    noteCall: (service) => void getUsage(service).calls.push(performance.now()),
    allowRepeat,
  };
}

function expireBefore(times: number[], oldestMs: number): void {
  let expired = 0;
  while (expired < times.length && (times[expired] ?? 0) < oldestMs) {
    expired += 1;
  }
  if (expired > 0) times.splice(0, expired);
}
