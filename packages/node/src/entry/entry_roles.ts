/** Role changes of engines: those that this entry orders and those that other instances report. */
import {
  type ChangingEngine,
  createDuty,
  type LogEvent,
  reconcileRoles,
} from "@trefoildoor/core";
import type { Channels } from "./channels.ts";
import type { FleetView } from "./fleet_view_types.ts";
import type { EntryPlatform, StoreTopics } from "./platform.ts";
import type { EntrySettings } from "./settings.ts";

/** Role changes in progress, as far as this entry knows them. */
export interface EntryRoles {
  /** Changes that this entry has ordered. */
  readonly listOrdered: () => readonly ChangingEngine[];
  /** Whether an engine is changing its role, on the order of this or another instance. */
  readonly isChanging: (endpoint: string) => boolean;
}

/** Dependencies of the role changes. */
export interface EntryRolesOptions {
  readonly settings: EntrySettings;
  readonly platform: EntryPlatform;
  readonly channels: Channels;
  readonly fleet: FleetView;
  readonly topics: StoreTopics;
  readonly logEvent: LogEvent;
  readonly isStopping: () => boolean;
  /** Whether this instance is cut off from the endpoints. */
  readonly isCut: () => boolean;
  readonly signal: AbortSignal;
}

const dutyName = "engine_roles";
/** Maximum age of the list of endpoints for ordering role changes, in ms: two read intervals. */
const maxListAgeMs = 1_500;
/** Time for which the merged list of all instances' changes is cached, in ms: far below the interval between digests. */
const changesCacheMs = 10;
/** Delay after the start before this instance may order changes, in ms: two heartbeats, so that instances know each other first. */
const startupDelayMs = 2_000;

/** Starts reconciling the roles of engines until `signal` aborts. */
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
    isLimited: fleet.limits.isLimited,
    listServices: () => fleet.getVersion()?.configuration.services ?? [],
    isFirst: () =>
      !options.isStopping() && !options.isCut() &&
      performance.now() - startedMs > startupDelayMs &&
      fleet.peers.listLive().every(({ name, stopping, cut }) =>
        stopping || cut || name > settings.instance
      ),
    isListFresh: () => fleet.getListAgeMs() < maxListAgeMs,
    prefillShare: settings.roles.prefill_share,
    signal,
    logEvent,
  });
  let cachedChanges: readonly ChangingEngine[] = [];
  let cachedMs = -Infinity;

  /** Cached, because each call checks every engine of its pool. */
  function listChanging(): readonly ChangingEngine[] {
    const nowMs = performance.now();
    if (nowMs - cachedMs > changesCacheMs) {
      cachedMs = nowMs;
      cachedChanges = [
        ...reconciler.listChanging(),
        ...fleet.peers.listLive().flatMap(({ changing }) => changing),
      ];
    }
    return cachedChanges;
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
