/**
 * Sums the load that the other instances report for each endpoint. The sums are
 * updated as reports arrive, so that the cost of reading an endpoint's load
 * does not grow with the number of instances.
 */
import type { EndpointName } from "../../types/index.ts";

/** Load of one endpoint: of one instance in a report, of all instances in a sum. */
export interface EndpointLoad {
  /** Open calls, running or queued. */
  readonly calls: number;
  /** Prompt tokens that are not computed yet, of calls that are in time. */
  readonly readTokens: number;
  /** Prompt tokens that are not computed yet, of late calls, which queue behind the others. */
  readonly lateTokens: number;
}

/** Load of one instance's own calls by endpoint, as its digests report it. */
export type LoadReports = Readonly<Record<EndpointName, EndpointLoad>>;

/** Load reports of the other instances and their sums. */
export interface PeerReports {
  /** Replaces an instance's report; it counts until it is `maxReportAgeMs` old. */
  readonly update: (instance: string, loads: LoadReports) => void;
  /** Sum of the current reports; undefined if no instance reports calls at the endpoint. */
  readonly get: (endpoint: EndpointName) => EndpointLoad | undefined;
}

/** Age at which a report no longer counts, in ms: three heartbeats of the sender. */
const maxReportAgeMs = 3_000;

interface PeerEntry {
  readonly receivedMs: number;
  readonly loads: LoadReports;
}

/** Creates an empty collection. */
export function createPeerReports(): PeerReports {
  /** Ordered by arrival, oldest first. */
  const peers = new Map<string, PeerEntry>();
  const sums = new Map<
    EndpointName,
    { calls: number; readTokens: number; lateTokens: number }
  >();

  function addLoads(loads: LoadReports, factor: 1 | -1): void {
    for (const [endpoint, load] of Object.entries(loads)) {
      const sum = sums.get(endpoint) ??
        { calls: 0, readTokens: 0, lateTokens: 0 };
      sum.calls += factor * load.calls;
      sum.readTokens += factor * load.readTokens;
      sum.lateTokens += factor * load.lateTokens;
      if (sum.calls === 0) sums.delete(endpoint);
      else sums.set(endpoint, sum);
    }
  }

  function removeReport(instance: string): void {
    const known = peers.get(instance);
    if (!known) return;
    peers.delete(instance);
    addLoads(known.loads, -1);
  }

  function removeExpired(): void {
    const oldestMs = performance.now() - maxReportAgeMs;
    for (const [instance, { receivedMs }] of peers) {
      if (receivedMs >= oldestMs) return;
      removeReport(instance);
    }
  }

  return {
    update(instance, loads): void {
      removeReport(instance);
      peers.set(instance, { receivedMs: performance.now(), loads });
      addLoads(loads, 1);
      removeExpired();
    },
    get(endpoint): EndpointLoad | undefined {
      removeExpired();
      return sums.get(endpoint);
    },
  };
}
