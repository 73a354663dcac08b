/**
 * Agrees on the time of day with the other instances. The date of one machine
 * may be off or set while it runs; the median over all that are heard is used.
 */
import type { InstanceName } from "../../types/index.ts";

/** Time of day that the instances agree on. */
export interface AgreedTime {
  /** Time in ms since the start of 1970. */
  readonly getMs: () => number;
  /** Records the date that a peer told at `sentMs` of `performance.now()`. */
  readonly recordPeer: (
    instance: InstanceName,
    news: { readonly dateMs: number; readonly sentMs: number },
  ) => void;
}

/** Age at which a peer's date no longer counts, in ms: some of its digests were lost. */
const maxAgeMs = 5_000;
/** Time for which the agreed time goes on by the monotonic clock while no peer is heard, in ms: as long as instances that are cut off stay known. */
const goesOnMs = 60_000;
/** Time for which a computed median is used, in ms. */
const medianCacheMs = 500;

/** Starts with this machine's own date. */
export function createAgreedTime(): AgreedTime {
  /** Dates of peers, as offsets to the monotonic clock. */
  const offsets = new Map<
    InstanceName,
    { readonly offsetMs: number; readonly receivedMs: number }
  >();
  let median = { offsetMs: 0, computedMs: -Infinity };
  /** When a peer was heard last. */
  let heardMs = -Infinity;

  function computeOffsetMs(nowMs: number): number {
    const ownMs = Date.now() - nowMs;
    for (const [instance, { receivedMs }] of offsets) {
      if (nowMs - receivedMs > maxAgeMs) offsets.delete(instance);
    }
    // An instance that is cut off counts in the windows that it counted in before.
    const isCutOff = offsets.size === 0 && nowMs - heardMs < goesOnMs;
    if (isCutOff && median.computedMs > -Infinity) return median.offsetMs;
    const sorted = [...offsets.values()].map(({ offsetMs }) => offsetMs);
    sorted.push(ownMs);
    sorted.sort((left, right) => left - right);
    return sorted[Math.floor((sorted.length - 1) / 2)] ?? ownMs;
  }

  return {
    getMs(): number {
      const nowMs = performance.now();
      if (nowMs - median.computedMs > medianCacheMs) {
        median = { offsetMs: computeOffsetMs(nowMs), computedMs: nowMs };
      }
      return nowMs + median.offsetMs;
    },
    recordPeer(instance, { dateMs, sentMs }): void {
      const receivedMs = performance.now();
      heardMs = receivedMs;
      offsets.set(instance, {
        offsetMs: dateMs - sentMs,
        receivedMs,
      });
    },
  };
}
