/** Work that this instance accepted for each pool, in short intervals. */
import type { DemandSample, InstanceName, PoolName } from "@trefoildoor/core";
import type { PeerDemand } from "../connection/peers/index.ts";

const intervalMs = 1_000;
const keptIntervals = 40;
/** Newest intervals that a digest carries; older ones were sent before. */
const sharedIntervals = 3;

/** What one request adds to the demand. */
export interface DemandEvent {
  readonly promptTokens: number;
  readonly outputTokens: number;
  readonly refused: boolean;
}

/** Demand on pools over all instances that this one hears. */
export interface DemandBook {
  readonly note: (pool: PoolName, event: DemandEvent) => void;
  readonly takeHeard: (samples: readonly PeerDemand[]) => void;
  /** Own samples of the newest intervals. */
  readonly listShared: () => readonly PeerDemand[];
  /** Sums of all instances by interval, oldest first. */
  readonly listSamples: (pool: PoolName) => readonly DemandSample[];
}

/** Creates the book of one instance. */
export function createDemandBook(instance: InstanceName): DemandBook {
  const samples = new Map<string, PeerDemand>();

  function removeOld(): void {
    const edgeMs = Date.now() - keptIntervals * intervalMs;
    for (const [name, sample] of samples) {
      if (sample.toMs < edgeMs) samples.delete(name);
    }
  }

  function listOf(pool: PoolName): readonly PeerDemand[] {
    removeOld();
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
    takeHeard(heard): void {
      for (const sample of heard) {
        if (sample.instance === instance) continue;
        samples.set(formatName(sample), sample);
      }
      removeOld();
    },
    listShared(): readonly PeerDemand[] {
      const edgeMs = Date.now() - sharedIntervals * intervalMs;
      return [...samples.values()].filter((sample) =>
        sample.instance === instance && sample.toMs >= edgeMs
      );
    },
    listSamples(pool): readonly DemandSample[] {
      const sums = new Map<number, DemandSample>();
      for (const sample of listOf(pool)) {
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
