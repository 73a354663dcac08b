/**
 * Estimates how long digests were in transit. The clocks of two instances are
 * not comparable, so the delay is the excess over the smallest difference
 * between the receiver's and the sender's monotonic clock.
 */
import type { PeerDigest } from "./peer_registry.ts";

/** Transit delays of the digests of all peers. */
export interface DigestDelays {
  /** Transit delay of a digest that arrived now, in ms; 0 for the first of a run of its sender, and for one that does not say when it was sent. */
  readonly measure: (
    digest: Pick<PeerDigest, "name" | "start" | "sentMs">,
  ) => number;
}

/**
 * Share of the elapsed time by which the smallest difference may grow: a
 * paused sender's clock lags behind for good, and its digests must not count
 * as delayed forever.
 */
const maxDrift = 0.05;

interface Baseline {
  readonly start: string;
  /** Smallest difference of the clocks, in ms. */
  readonly offsetMs: number;
  readonly updatedMs: number;
}

/** Creates the estimates of one instance. */
export function createDigestDelays(): DigestDelays {
  const baselines = new Map<string, Baseline>();
  return {
    measure({ name, start, sentMs }): number {
      if (sentMs === undefined) return 0;
      const nowMs = performance.now();
      const offsetMs = nowMs - sentMs;
      const known = baselines.get(name);
      const lowestMs = known?.start === start
        ? Math.min(
          known.offsetMs + (nowMs - known.updatedMs) * maxDrift,
          offsetMs,
        )
        : offsetMs;
      baselines.set(name, { start, offsetMs: lowestMs, updatedMs: nowMs });
      return offsetMs - lowestMs;
    },
  };
}
