/** Reports that endpoints are leaving, by source. */
import type { EndpointName } from "../../types/names.ts";

/** Unexpired reports known to an instance. */
export interface LeavingReports {
  /** Records the endpoint's own answer; one that stays clears all reports about it. */
  readonly recordOwn: (endpoint: EndpointName, leaving: boolean) => void;
  /** Records a peer's report, which is not forwarded to other peers. */
  readonly recordPeer: (endpoint: EndpointName) => void;
  /** Deletes all reports about an endpoint. */
  readonly clear: (endpoint: EndpointName) => void;
  readonly has: (endpoint: EndpointName) => boolean;
  /** Endpoints that reported directly to this instance. */
  readonly listOwn: () => readonly EndpointName[];
}

/**
 * Time until a report expires, in ms. It bounds the effect of a wrong or
 * outdated report; the list shows a leaving endpoint well before.
 */
const reportTtlMs = 30_000;

/** Creates an empty set of reports. */
export function createLeavingReports(): LeavingReports {
  const own = new Map<EndpointName, number>();
  const peers = new Map<EndpointName, number>();
  const isUnexpired = (
    reports: ReadonlyMap<EndpointName, number>,
    endpoint: EndpointName,
  ): boolean => {
    const recordedMs = reports.get(endpoint) ?? -Infinity;
    return performance.now() - recordedMs < reportTtlMs;
  };
  const clear = (endpoint: EndpointName): void => {
    own.delete(endpoint);
    peers.delete(endpoint);
  };
  return {
    recordOwn: (endpoint, leaving) => {
      if (leaving) own.set(endpoint, performance.now());
      else clear(endpoint);
    },
    recordPeer: (endpoint) => peers.set(endpoint, performance.now()),
    clear,
    has: (endpoint) =>
      isUnexpired(own, endpoint) || isUnexpired(peers, endpoint),
    listOwn: () =>
      [...own.keys()].filter((endpoint) => isUnexpired(own, endpoint)),
  };
}
