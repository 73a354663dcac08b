/** Roles of engines as one entry plans them and hears of them. */
import {
  type ChangingEngine,
  createDuty,
  type LogEvent,
  reconcileRoles,
} from "@trefoildoor/core";
import type { Channels } from "./channels.ts";
import type { FleetView } from "./fleet_view.ts";
import type { EntryPlatform, StoreTopics } from "./platform.ts";
import type { EntrySettings } from "./settings.ts";

/** Role changes that this entry knows of. */
export interface EntryRoles {
  /** Changes that this entry has ordered. */
  readonly listOrdered: () => readonly ChangingEngine[];
  /** Whether an engine changes its role, by own orders or by others' word. */
  readonly isChanging: (endpoint: string) => boolean;
}

/** What the roles are kept with. */
export interface EntryRolesOptions {
  readonly settings: EntrySettings;
  readonly platform: EntryPlatform;
  readonly channels: Channels;
  readonly fleet: FleetView;
  readonly topics: StoreTopics;
  readonly logEvent: LogEvent;
  readonly isStopping: () => boolean;
  readonly signal: AbortSignal;
}

const dutyName = "engine_roles";
/** Age of the list of endpoints up to which orders go by it, in ms: two of its reads. */
const freshListMs = 1_500;
/** Time for which the changes of all instances are kept once gathered, in ms: far below the gap between digests. */
const gatheredForMs = 10;
/** Time for instances to hear of each other before any acts, in ms: two heartbeats. */
const settleMs = 2_000;

/** Starts keeping roles. */
export function startRoles(options: EntryRolesOptions): EntryRoles {
  const { settings, fleet, logEvent, signal } = options;
  const startedMs = performance.now();
  const reconciler = reconcileRoles({
    instance: settings.instance,
    duty: createDuty(options.topics.duties, {
      name: dutyName,
      instance: settings.instance,
      leaseMs: settings.roles.lease_ms,
      signal,
      logEvent,
    }),
    control: options.platform.createEngineControl(options.channels),
    endpoints: fleet.endpoints,
    endpointTracker: fleet.endpointTracker,
    listServices: () => fleet.getVersion()?.configuration.services ?? [],
    isFirst: () =>
      !options.isStopping() &&
      performance.now() - startedMs > settleMs &&
      fleet.peers.listLive().every(({ name, stopping }) =>
        stopping || name > settings.instance
      ),
    isListFresh: () => fleet.getListAgeMs() < freshListMs,
    prefillShare: settings.roles.prefill_share,
    signal,
    logEvent,
  });
  let gathered: readonly ChangingEngine[] = [];
  let gatheredMs = -Infinity;

  /** A call asks for each engine of its pool in turn. */
  function listChanging(): readonly ChangingEngine[] {
    const nowMs = performance.now();
    if (nowMs - gatheredMs > gatheredForMs) {
      gatheredMs = nowMs;
      gathered = [
        ...reconciler.listChanging(),
        ...fleet.peers.listLive().flatMap(({ changing }) => changing),
      ];
    }
    return gathered;
  }

  return {
    listOrdered: reconciler.listChanging,
    isChanging: (endpoint) =>
      listChanging().some((change) =>
        change.endpoint === endpoint &&
        fleet.endpoints.get(endpoint)?.role !== change.role
      ),
  };
}
