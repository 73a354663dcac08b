/** Requests and tokens of each pool, counted per instance in intervals of one second. */
import type { DemandSample, InstanceName, PoolName } from "@trefoildoor/core";
import type { PeerDemand } from "../connection/peers/index.ts";

const intervalMs = 1_000;
const retainedIntervals = 40;
/** Number of newest intervals in a digest; earlier digests carried the older ones. */
const digestIntervals = 3;

/** What one request adds to the demand. */
export interface DemandEvent {
  readonly promptTokens: number;
  readonly outputTokens: number;
  readonly refused: boolean;
}

/** Demand on each pool: own requests and the samples that peers sent. */
export interface DemandTracker {
  readonly note: (pool: PoolName, event: DemandEvent) => void;
  readonly acceptPeerSamples: (samples: readonly PeerDemand[]) => void;
  /** Own samples of the newest intervals, for the digest to peers. */
  readonly listRecentOwnSamples: () => readonly PeerDemand[];
  /** Sums of all instances by interval, oldest first. */
  readonly listSamples: (pool: PoolName) => readonly DemandSample[];
}

/** Creates an empty tracker; samples older than 40 s are dropped. */
export function createDemandTracker(instance: InstanceName): DemandTracker {
  const samples = new Map<string, PeerDemand>();

  function removeExpired(): void {
    const cutoffMs = Date.now() - retainedIntervals * intervalMs;
    for (const [name, sample] of samples) {
      if (sample.toMs < cutoffMs) samples.delete(name);
    }
  }

  function listPoolSamples(pool: PoolName): readonly PeerDemand[] {
    removeExpired();
    return [...samples.values()].filter((sample) => sample.pool === pool);
  }

  return {
    note(pool, event): void {
      const fromMs = Math.floor(Date.now() / intervalMs) * intervalMs;
      const name = formatName({ instance, pool, fromMs });
      const sample = samples.get(name) ??
        createSample(instance, pool, { fromMs });
      samples.set(name, {
        ...sample,
        requests: sample.requests + 1,
        promptTokens: sample.promptTokens + event.promptTokens,
        outputTokens: sample.outputTokens + event.outputTokens,
        refused: sample.refused + (event.refused ? 1 : 0),
      });
    },
    acceptPeerSamples(received): void {
      for (const sample of received) {
        if (sample.instance === instance) continue;
        samples.set(formatName(sample), sample);
      }
      removeExpired();
    },
    listRecentOwnSamples(): readonly PeerDemand[] {
      const cutoffMs = Date.now() - digestIntervals * intervalMs;
      return [...samples.values()].filter((sample) =>
        sample.instance === instance && sample.toMs >= cutoffMs
      );
    },
    listSamples(pool): readonly DemandSample[] {
      const sums = new Map<number, DemandSample>();
      for (const sample of listPoolSamples(pool)) {
        sums.set(sample.fromMs, sumSamples(sums.get(sample.fromMs), sample));
      }
      return [...sums.values()].toSorted((left, right) =>
        left.fromMs - right.fromMs
      );
    },
  };
}

function formatName(
  interval: Pick<PeerDemand, "instance" | "pool" | "fromMs">,
): string {
  return JSON.stringify([interval.instance, interval.pool, interval.fromMs]);
}

function createSample(
  instance: InstanceName,
  pool: PoolName,
  { fromMs }: { readonly fromMs: number },
): PeerDemand {
  const counts = { requests: 0, promptTokens: 0, outputTokens: 0, refused: 0 };
  return { instance, pool, fromMs, toMs: fromMs + intervalMs, ...counts };
}

function sumSamples(
  sum: DemandSample | undefined,
  sample: PeerDemand,
): DemandSample {
  const { fromMs, toMs } = sample;
  return {
    fromMs,
    toMs,
    requests: (sum?.requests ?? 0) + sample.requests,
    promptTokens: (sum?.promptTokens ?? 0) + sample.promptTokens,
    outputTokens: (sum?.outputTokens ?? 0) + sample.outputTokens,
    refused: (sum?.refused ?? 0) + sample.refused,
  };
}
