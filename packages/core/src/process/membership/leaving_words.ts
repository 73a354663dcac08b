/** Word that endpoints are leaving, by who gave it. */
import type { EndpointName } from "../../types/names.ts";

/** Words that an instance has heard. */
export interface LeavingWords {
  /** Takes the endpoint's own answer. */
  readonly noteOwn: (endpoint: EndpointName, leaving: boolean) => void;
  /** Takes a peer's word, which is not passed on. */
  readonly notePeer: (endpoint: EndpointName) => void;
  /** Forgets all words about an endpoint. */
  readonly clear: (endpoint: EndpointName) => void;
  readonly has: (endpoint: EndpointName) => boolean;
  /** Endpoints that gave their word to this instance itself. */
  readonly listOwn: () => readonly EndpointName[];
}

/**
 * Time for which a word counts, in ms. It bounds what a wrong or outdated word
 * costs; the list shows an endpoint that really leaves well before.
 */
const wordTimeMs = 30_000;

/** Creates an empty set of words. */
export function createLeavingWords(): LeavingWords {
  const own = new Map<EndpointName, number>();
  const peers = new Map<EndpointName, number>();
  const isHeard = (
    words: ReadonlyMap<EndpointName, number>,
    endpoint: EndpointName,
  ): boolean => {
    const heardMs = words.get(endpoint) ?? -Infinity;
    return performance.now() - heardMs < wordTimeMs;
  };
  const clear = (endpoint: EndpointName): void => {
    own.delete(endpoint);
    peers.delete(endpoint);
  };
  return {
    noteOwn: (endpoint, leaving) => {
      if (leaving) own.set(endpoint, performance.now());
      else clear(endpoint);
    },
    notePeer: (endpoint) => peers.set(endpoint, performance.now()),
    clear,
    has: (endpoint) => isHeard(own, endpoint) || isHeard(peers, endpoint),
    listOwn: () => [...own.keys()].filter((endpoint) => isHeard(own, endpoint)),
  };
}
