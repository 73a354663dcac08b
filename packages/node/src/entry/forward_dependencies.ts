/** What an entry gives to the forwarding of calls. */
import {
  createHeldBytes,
  createRefusalProofs,
  createReturnTimes,
  createSharedBudget,
  createStopBound,
  createUsualTimes,
  type ForwardDependencies,
  type LogEvent,
  type RunningClock,
} from "@trefoildoor/core";
import type { Channels } from "./channels.ts";
import type { CountedActivity } from "./counted_activity.ts";
import { createEndpointSender } from "./endpoint_sender.ts";
import type { EntryRoles } from "./entry_roles.ts";
import type { FleetView } from "./fleet_view_types.ts";
import type { EntryMetrics } from "./metrics.ts";
import { canHearPlacements } from "./peer_targets.ts";
import type { EntryPlatform } from "./platform.ts";
import type { EntryState } from "./running.ts";
import type { EntrySettings } from "./settings.ts";

const msPerSecond = 1_000;
/** Most bytes that are held of answers to calls, in all: a part of the memory of small machines. */
const maxHeldBytes = 32 * 1_048_576;

/** Builds the dependencies from the components of an entry. */
export function buildDependencies(from: {
  readonly activity: CountedActivity | undefined;
  readonly settings: EntrySettings;
  readonly platform: EntryPlatform;
  readonly channels: Channels;
  readonly fleet: FleetView;
  readonly roles: EntryRoles;
  readonly metrics: EntryMetrics;
  readonly state: EntryState;
  readonly clock: RunningClock;
  readonly logEvent: LogEvent;
}): ForwardDependencies {
  const { settings, fleet, roles, logEvent } = from;
  const { ratio, slack, window_s: windowS } = settings.repeats;
  return {
    // Endpoints, their capacities, keys, shares, crashes, limits and streams, by
    // the same names.
    ...fleet,
    sender: createEndpointSender(from.platform.codec, {
      channels: from.channels,
      logEvent,
    }),
    getBacklogs: () =>
      canHearPlacements(fleet.peers, settings.failure_domain)
        ? fleet.backlogs
        : undefined,
    onPlaced: (engine, ms) =>
      from.state.peerLink?.sendPlacements({ [engine]: Math.round(ms) }),
    countInstances: fleet.peers.countInstances,
    activity: from.activity?.recorder,
    usualTimes: createUsualTimes(),
    budget: createSharedBudget(
      { ratio, slack, windowMs: windowS * msPerSecond },
      { countInstances: fleet.peers.countInstances },
    ),
    held: createHeldBytes(maxHeldBytes),
    refusals: createRefusalProofs(),
    returns: createReturnTimes(Math.random),
    isChangingRole: roles.isChanging,
    stopBound: createStopBound(),
    clock: from.clock,
    onSent: from.metrics.recordSend,
    onOverdue: from.metrics.recordOverdue,
    ownDomain: settings.failure_domain,
    random: Math.random,
    logEvent,
  };
}
