/** Components of a running entry, and its mutable state. */
import type { EndpointLinks, ForwardDependencies } from "@trefoildoor/core";
import type { Channels } from "./channels.ts";
import type { CountedActivity } from "./counted_activity.ts";
import type { EntryRoles } from "./entry_roles.ts";
import type { FleetView } from "./fleet_view_types.ts";
import type { FrontServer } from "./front_server.ts";
import type { HandOver } from "./hand_over.ts";
import type { EntryMetrics } from "./metrics.ts";
import type { OperatorCalls } from "./operator_calls.ts";
import type { PeerLink } from "./peer_link.ts";
import type { StoreTopics } from "./platform.ts";
import type { EntrySettings } from "./settings.ts";
import type { EntryOptions } from "./start_entry.ts";

/** Components of a running entry. */
export interface Running {
  readonly settings: EntrySettings;
  readonly options: EntryOptions;
  readonly channels: Channels;
  readonly links: EndpointLinks;
  readonly topics: StoreTopics;
  readonly fleet: FleetView;
  readonly roles: EntryRoles;
  /** Counters of calls; undefined where the settings name no operator. */
  readonly activity: CountedActivity | undefined;
  /** Calls to the operator; undefined where the settings name none. */
  readonly operatorCalls: OperatorCalls | undefined;
  readonly metrics: EntryMetrics;
  readonly dependencies: ForwardDependencies;
  readonly handOver: HandOver;
  readonly shutdown: AbortController;
  readonly state: EntryState;
  /** Registers this instance in the store. */
  readonly register: () => void;
}

/** Mutable state of a running entry. */
export interface EntryState {
  stopping: boolean;
  ready: boolean;
  front?: FrontServer;
  peerLink?: PeerLink;
  /** Number of peers' calls that are not answered yet. */
  countTakenOver?: () => number;
}
