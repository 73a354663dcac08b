/**
 * Work of the other instances at endpoints, as they report it. Sums are kept
 * as reports arrive, so that a look at an endpoint costs the same with any
 * number of instances.
 */
import type { EndpointName } from "../../types/index.ts";

/** Load of one endpoint, all instances together. */
export interface EndpointLoad {
  /** Calls that run or wait there. */
  readonly calls: number;
  /** Prompt tokens of calls in time that were sent there and are not computed yet. */
  readonly readTokens: number;
  /** The same of calls that are late already and go behind the others. */
  readonly lateTokens: number;
}

/** Work that one instance has at endpoints, as it tells the others. */
export type LoadReports = Readonly<Record<EndpointName, EndpointLoad>>;

/** Reports of the other instances. */
export interface PeerReports {
  /** Takes an instance's work; it counts until it is `maxReportAgeMs` old. */
  readonly take: (instance: string, loads: LoadReports) => void;
  /** Sum of what counts now; undefined where no instance has work there. */
  readonly get: (endpoint: EndpointName) => EndpointLoad | undefined;
}

/** Age at which another instance's report no longer counts, in ms: three times its heartbeat. */
const maxReportAgeMs = 3_000;

interface PeerEntry {
  readonly takenMs: number;
  readonly loads: LoadReports;
}

/** Creates an empty collection. */
export function createPeerReports(): PeerReports {
  /** In the order of their arrival. */
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

  function removeOld(): void {
    const oldestMs = performance.now() - maxReportAgeMs;
    for (const [instance, { takenMs }] of peers) {
      if (takenMs >= oldestMs) return;
      removeReport(instance);
    }
  }

  return {
    take(instance, loads): void {
      removeReport(instance);
      peers.set(instance, { takenMs: performance.now(), loads });
      addLoads(loads, 1);
      removeOld();
    },
    get(endpoint): EndpointLoad | undefined {
      removeOld();
      return sums.get(endpoint);
    },
  };
}
