/** Tracks this instance's requests at each engine, and those whose connection recently broke. */
import type { EndpointName } from "../../types/index.ts";
import type { PromptRequest } from "./prompt_crashes.ts";

/** Time for which a request whose connection broke stays a suspect in a crash of its engine, in ms. */
const lossRetentionMs = 10_000;

/** Requests in flight from this instance, by engine. */
export interface InFlightRequests {
  /** Adds a request; the returned function removes it. */
  readonly add: (engine: EndpointName, request: PromptRequest) => () => void;
  readonly count: (engine: EndpointName) => number;
  /** Records a request whose connection broke; it expires after `lossRetentionMs`. */
  readonly recordLoss: (engine: EndpointName, request: PromptRequest) => void;
  /** Lists requests that may have crashed an engine: those in flight there or recently lost. */
  readonly listSuspects: (engine: EndpointName) => readonly PromptRequest[];
}

interface Loss {
  readonly engine: EndpointName;
  readonly request: PromptRequest;
  readonly lostMs: number;
}

/** Creates an instance's in-flight tracker, initially empty. */
export function createInFlightRequests(): InFlightRequests {
  const active = new Map<
    EndpointName,
    Set<{ readonly request: PromptRequest }>
  >();
  let losses: readonly Loss[] = [];

  function expireLosses(): void {
    const oldestMs = performance.now() - lossRetentionMs;
    losses = losses.filter((loss) => loss.lostMs >= oldestMs);
  }

  return {
    add(engine, request): () => void {
      const entry = { request };
      const entries = active.get(engine) ?? new Set();
      active.set(engine, entries);
      entries.add(entry);
      return () => {
        entries.delete(entry);
      };
    },
    count: (engine) => active.get(engine)?.size ?? 0,
    recordLoss(engine, request): void {
      expireLosses();
      losses = [...losses, { engine, request, lostMs: performance.now() }];
    },
    listSuspects(engine): readonly PromptRequest[] {
      expireLosses();
      const lost = losses.filter((loss) => loss.engine === engine)
        .map(({ request }) => request);
      const running = [...active.get(engine) ?? []]
        .map(({ request }) => request);
      return [...new Set([...lost, ...running])];
    },
  };
}
