/** Sums the demand that the other instances tell, changed as their reports come. */
import type { ServiceName, WorkspaceName } from "../../types/index.ts";
import type { DemandReports, ServiceDemand } from "./share_types.ts";

/** Demand of one service at all other instances. */
export interface PeerDemand {
  readonly heaviest: ReadonlyMap<WorkspaceName, number>;
  readonly rest: number;
  /** Largest number of unnamed workspaces at one instance. */
  readonly restCount: number;
  readonly taken: number;
  readonly refused: number;
}

/** Reports of the other instances and their sums. */
export interface PeerDemands {
  /** Replaces what an instance has told; it counts for 3 s. */
  readonly update: (
    instance: string,
    reports: DemandReports | undefined,
  ) => void;
  readonly get: (service: ServiceName) => PeerDemand | undefined;
  /** Rate of a workspace's work at the instances that name it. */
  readonly getRate: (service: ServiceName, workspace: WorkspaceName) => number;
  /** Rate of the work that found no room. */
  readonly getRefused: (service: ServiceName) => number;
}

/** Age at which a report no longer counts, in ms: three heartbeats of the sender. */
const maxReportAgeMs = 3_000;
/** Bounds of what one instance may tell; the rest is ignored. */
const maxServices = 256;
const maxNamed = 64;

type MutableDemand =
  & { -readonly [Key in keyof PeerDemand]: PeerDemand[Key] }
  & { heaviest: Map<WorkspaceName, number>; instances: number };

/** Creates sums without reports. */
export function createPeerDemands(): PeerDemands {
  /** Ordered by arrival, oldest first. */
  const peers = new Map<
    string,
    {
      readonly receivedMs: number;
      readonly demands: ReadonlyMap<ServiceName, ServiceDemand>;
    }
  >();
  const sums = new Map<ServiceName, MutableDemand>();

  /** Adds a demand to a sum, or takes it out with a negative sign. */
  function addDemand(
    demand: ServiceDemand,
    { sum, sign }: { readonly sum: MutableDemand; readonly sign: 1 | -1 },
  ): void {
    sum.instances += sign;
    sum.rest += sign * demand.rest;
    sum.taken += sign * demand.taken;
    sum.refused += sign * demand.refused;
    for (const [workspace, rate] of Object.entries(demand.heaviest)) {
      const total = (sum.heaviest.get(workspace) ?? 0) + sign * rate;
      if (total > 0) sum.heaviest.set(workspace, total);
      else sum.heaviest.delete(workspace);
    }
  }

  function addReport(
    demands: ReadonlyMap<ServiceName, ServiceDemand>,
    sign: 1 | -1,
  ): void {
    for (const [service, demand] of demands) {
      const sum = sums.get(service) ?? {
        heaviest: new Map(),
        rest: 0,
        restCount: 0,
        taken: 0,
        refused: 0,
        instances: 0,
      };
      addDemand(demand, { sum, sign });
      if (sum.instances === 0) sums.delete(service);
      else sums.set(service, sum);
    }
  }

  function removeReport(instance: string): void {
    const known = peers.get(instance);
    if (!known) return;
    peers.delete(instance);
    addReport(known.demands, -1);
  }

  function removeExpired(): void {
    const oldestMs = performance.now() - maxReportAgeMs;
    for (const [instance, { receivedMs }] of peers) {
      if (receivedMs >= oldestMs) return;
      removeReport(instance);
    }
  }

  return {
    update(instance, reports): void {
      removeReport(instance);
      removeExpired();
      const demands = new Map(
        Object.entries(reports ?? {}).slice(0, maxServices)
          .filter(([, demand]) => typeof demand === "object" && demand !== null)
          .map(([service, demand]) => [service, copyDemand(demand)]),
      );
      if (demands.size === 0) return;
      peers.set(instance, { receivedMs: performance.now(), demands });
      addReport(demands, 1);
    },
    get(service): PeerDemand | undefined {
      removeExpired();
      const sum = sums.get(service);
      if (!sum) return undefined;
      const counts = [...peers.values()].map(({ demands }) =>
        demands.get(service)?.restCount ?? 0
      );
      return { ...sum, restCount: Math.max(0, ...counts) };
    },
    getRate: (service, workspace) =>
      sums.get(service)?.heaviest.get(workspace) ?? 0,
    getRefused(service): number {
      removeExpired();
      return sums.get(service)?.refused ?? 0;
    },
  };
}

/** Copies what can be used of a report in whole numbers, so that sums stay exact. */
function copyDemand(demand: ServiceDemand): ServiceDemand {
  const named = Object.entries(demand.heaviest ?? {}).slice(0, maxNamed);
  return {
    heaviest: Object.fromEntries(
      named.map(([workspace, rate]) => [workspace, takeRate(rate)]),
    ),
    rest: takeRate(demand.rest),
    restCount: takeRate(demand.restCount),
    taken: takeRate(demand.taken),
    refused: takeRate(demand.refused),
  };
}

function takeRate(rate: number): number {
  return Number.isSafeInteger(rate) && rate > 0 ? rate : 0;
}
