/** Tracks this instance's requests at each engine, and those whose connection recently broke. */
import type { EndpointName } from "../../types/index.ts";

/** Time for which a request whose connection broke stays a suspect in a crash of its engine, in ms. */
const lossRetentionMs = 10_000;

/** Requests in flight from this instance, by engine. */
export interface InFlightRequests {
  /** Adds a request; the returned function removes it. */
  readonly add: (engine: EndpointName, digest: string) => () => void;
  readonly count: (engine: EndpointName) => number;
  /** Records a request whose connection broke; it expires after `lossRetentionMs`. */
  readonly recordLoss: (engine: EndpointName, digest: string) => void;
  /** Lists digests of requests that may have crashed an engine: those in flight there or recently lost. */
  readonly listSuspects: (engine: EndpointName) => readonly string[];
}

interface Loss {
  readonly engine: EndpointName;
  readonly digest: string;
  readonly lostMs: number;
}

/** Creates an instance's in-flight tracker, initially empty. */
export function createInFlightRequests(): InFlightRequests {
  const active = new Map<EndpointName, Set<{ readonly digest: string }>>();
  let losses: readonly Loss[] = [];

  function expireLosses(): void {
    const oldestMs = performance.now() - lossRetentionMs;
    losses = losses.filter((loss) => loss.lostMs >= oldestMs);
  }

  return {
    add(engine, digest): () => void {
      const entry = { digest };
      const entries = active.get(engine) ?? new Set();
      active.set(engine, entries);
      entries.add(entry);
      return () => {
        entries.delete(entry);
      };
    },
    count: (engine) => active.get(engine)?.size ?? 0,
    recordLoss(engine, digest): void {
      expireLosses();
      losses = [...losses, { engine, digest, lostMs: performance.now() }];
    },
    listSuspects(engine): readonly string[] {
      expireLosses();
      const lost = losses.filter((loss) => loss.engine === engine).map((loss) =>
        loss.digest
      );
      const running = [...active.get(engine) ?? []].map((entry) =>
        entry.digest
      );
      return [...new Set([...lost, ...running])];
    },
  };
}
