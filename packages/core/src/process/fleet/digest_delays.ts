/**
 * Estimates how long digests were in transit. The clocks of two instances are
 * not comparable, so the delay is the excess over the smallest difference
 * between the receiver's and the sender's monotonic clock.
 */
import type { PeerDigest } from "./peer_registry.ts";

/** Estimated time of one digest in transit. */
export interface DigestDelay {
  readonly ms: number;
  /** Whether enough is known of the difference of the clocks: the first digests of a run of their sender may all have been late. */
  readonly reliable: boolean;
}

/** Transit delays of the digests of all peers. */
export interface DigestDelays {
  /** Transit delay of a digest that arrived at `receivedMs` of `performance.now()`; 0 for the first of a run of its sender, and for one that does not say when it was sent. */
  readonly measure: (
    digest: Pick<PeerDigest, "name" | "start" | "sentMs">,
    receivedMs: number,
  ) => DigestDelay;
}

/**
 * Share of the elapsed time by which the smallest difference may grow: a
 * paused sender's clock lags behind for good, and its digests must not count
 * as delayed forever.
 */
const maxDrift = 0.05;
/** Digests of a run of their sender until the delays of the next ones are reliable. */
const minSamples = 2;
/** Time between two digests that count as different samples, in ms: those that waited for a paused receiver arrive together. */
const sampleDistanceMs = 100;

interface Baseline {
  readonly start: string;
  /** Smallest difference of the clocks, in ms. */
  readonly offsetMs: number;
  readonly updatedMs: number;
  readonly samples: number;
  readonly sampledMs: number;
}

/** Creates the estimates of one instance. */
export function createDigestDelays(): DigestDelays {
  const baselines = new Map<string, Baseline>();
  return {
    measure({ name, start, sentMs }, receivedMs): DigestDelay {
      if (sentMs === undefined) return { ms: 0, reliable: false };
      const offsetMs = receivedMs - sentMs;
      const former = baselines.get(name);
      const known = former?.start === start ? former : undefined;
      const lowestMs = known
        ? Math.min(
          known.offsetMs + (receivedMs - known.updatedMs) * maxDrift,
          offsetMs,
        )
        : offsetMs;
      const isSample = !known ||
        receivedMs - known.sampledMs >= sampleDistanceMs;
      baselines.set(name, {
        start,
        offsetMs: lowestMs,
        updatedMs: receivedMs,
        samples: (known?.samples ?? 0) + (isSample ? 1 : 0),
        sampledMs: isSample ? receivedMs : known.sampledMs,
      });
      return {
        ms: offsetMs - lowestMs,
        reliable: (known?.samples ?? 0) >= minSamples,
      };
    },
  };
}
