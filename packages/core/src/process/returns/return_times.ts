/**
 * Hands out the times at which refused callers come back, one after the other at
 * the rate at which room is expected, so that they do not all come at once.
 */
import type { ServiceName } from "../../types/index.ts";

/** When room is expected for the calls that this instance refuses. */
export interface ExpectedRoom {
  /** Time until there is room for one call, in ms. */
  readonly firstMs: number;
  /** Time from then until there is room for one more, in ms. */
  readonly gapMs: number;
  /** Time that the caller has left, in ms. */
  readonly leftMs: number;
}

/** Times to come back that were promised. */
export interface ReturnTimes {
  /** Time after which the next refused caller of a service is to come back, in ms. */
  readonly take: (service: ServiceName, room: ExpectedRoom) => number;
}

/** Longest time to come back, in ms, unless room is expected later: what is known of the load says nothing of later. */
const maxWaitMs = 5_000;
/** Shortest time of callers whose turns would be later, as a share of the longest. */
const minLateShare = 0.5;
/** Largest share of their time after which callers come back. */
const awaitedShare = 1 / 3;
/** Number of services whose turns are kept. */
const maxServices = 1_024;

/** Creates times of which none is promised; `random` draws from 0 up to 1, so that instances do not name the same moments. */
export function createReturnTimes(random: () => number): ReturnTimes {
  /** When the next turn of each service begins, in ms of `performance.now()`; the latest ones last. */
  const turns = new Map<ServiceName, number>();

  function keepTurn(service: ServiceName, beginMs: number): void {
    turns.delete(service);
    turns.set(service, beginMs);
    for (const [oldest, oldestMs] of turns) {
      if (oldestMs > performance.now() && turns.size <= maxServices) break;
      turns.delete(oldest);
    }
  }

  return {
    take(service, { firstMs, gapMs, leftMs }): number {
      const nowMs = performance.now();
      const earliestMs = nowMs + firstMs;
      const promisedMs = turns.get(service) ?? -Infinity;
      const isFirst = promisedMs <= earliestMs;
      const beginMs = isFirst ? earliestMs : promisedMs;
      const spreadMs = isFirst ? Math.min(gapMs, firstMs) : gapMs;
      const waitMs = beginMs - nowMs + spreadMs * random();
      const longestMs = Math.max(maxWaitMs, firstMs / minLateShare);
      if (waitMs > longestMs) {
        const share = minLateShare + (1 - minLateShare) * random();
        return Math.ceil(longestMs * share);
      }
      if (waitMs <= leftMs * awaitedShare) keepTurn(service, beginMs + gapMs);
      return Math.ceil(waitMs);
    },
  };
}
