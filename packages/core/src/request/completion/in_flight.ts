/** Requests that this instance has at each engine, or lost there a moment ago. */
import type { EndpointName } from "../../types/index.ts";

/** How long a lost request counts as present at its engine's crash, in ms. */
const lossMemoryMs = 10_000;

/** Requests of this instance by engine. */
export interface InFlight {
  /** Adds a request; the result removes it. */
  readonly add: (engine: EndpointName, digest: string) => () => void;
  readonly count: (engine: EndpointName) => number;
  /** Remembers a request whose connection broke. */
  readonly noteLoss: (engine: EndpointName, digest: string) => void;
  /** Digests of requests that an engine's crash may be due to. */
  readonly listSuspects: (engine: EndpointName) => readonly string[];
}

interface Loss {
  readonly engine: EndpointName;
  readonly digest: string;
  readonly lostMs: number;
}

/** Creates the register of one instance. */
export function createInFlight(): InFlight {
  const present = new Map<EndpointName, Set<{ readonly digest: string }>>();
  let losses: readonly Loss[] = [];

  function expireLosses(): void {
    const edgeMs = performance.now() - lossMemoryMs;
    losses = losses.filter((loss) => loss.lostMs >= edgeMs);
  }

  return {
    add(engine, digest): () => void {
      const entry = { digest };
      const entries = present.get(engine) ?? new Set();
      present.set(engine, entries);
      entries.add(entry);
      return () => {
        entries.delete(entry);
      };
    },
    count: (engine) => present.get(engine)?.size ?? 0,
    noteLoss(engine, digest): void {
      expireLosses();
      losses = [...losses, { engine, digest, lostMs: performance.now() }];
    },
    listSuspects(engine): readonly string[] {
      expireLosses();
      const lost = losses.filter((loss) => loss.engine === engine).map((loss) =>
        loss.digest
      );
      const running = [...present.get(engine) ?? []].map((entry) =>
        entry.digest
      );
      return [...new Set([...lost, ...running])];
    },
  };
}
