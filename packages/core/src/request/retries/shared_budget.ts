/**
 * Retry budget that all instances share: in any time window, a service may
 * receive a fixed number of repeats plus a fraction of its calls. Each instance
 * spends its part without coordination.
 */
import type { ServiceName } from "../../types/index.ts";

/** Limits of one service's budget over all instances. */
export interface SharedBudgetLimits {
  /** Repeats allowed per call. */
  readonly ratio: number;
  /** Repeats per window allowed in addition, for all instances together. */
  readonly slack: number;
  readonly windowMs: number;
}

/** One instance's part of the budget. */
export interface SharedBudget {
  /** Counts the first attempt of a call, which adds to the budget. */
  readonly recordCall: (service: ServiceName) => void;
  /** Spends one repeat; returns false if the budget is used up. */
  readonly consumeRepeat: (service: ServiceName) => boolean;
  /** Gives back the last repeat, as nothing was sent. */
  readonly returnRepeat: (service: ServiceName) => void;
}

/** Fraction of the budget that may be spent; the rest covers instances that this one does not know of. */
const usableFraction = 0.7;

/** Times of calls and repeats within the window, oldest first. */
interface Usage {
  readonly calls: number[];
  readonly repeats: number[];
}

/** Creates one instance's part of the budget. */
export function createSharedBudget(
  limits: SharedBudgetLimits,
  options: {
    /** Number of live instances, including this one. */
    readonly countInstances: () => number;
  },
): SharedBudget {
  const usages = new Map<ServiceName, Usage>();

  function getUsage(service: ServiceName): Usage {
    const usage = usages.get(service) ?? { calls: [], repeats: [] };
    usages.set(service, usage);
    const oldestMs = performance.now() - limits.windowMs;
    expireBefore(usage.calls, oldestMs);
    expireBefore(usage.repeats, oldestMs);
    return usage;
  }

  function consumeRepeat(service: ServiceName): boolean {
    const usage = getUsage(service);
    const allowed = usableFraction *
      (limits.ratio * usage.calls.length +
        limits.slack / Math.max(options.countInstances(), 1));
    if (usage.repeats.length + 1 > allowed) return false;
    usage.repeats.push(performance.now());
    return true;
  }

  return {
    recordCall: (service) =>
      void getUsage(service).calls.push(performance.now()),
    consumeRepeat,
    returnRepeat: (service) => void getUsage(service).repeats.pop(),
  };
}

function expireBefore(times: number[], oldestMs: number): void {
  let expired = 0;
  while (expired < times.length && (times[expired] ?? 0) < oldestMs) {
    expired += 1;
  }
  if (expired > 0) times.splice(0, expired);
}
