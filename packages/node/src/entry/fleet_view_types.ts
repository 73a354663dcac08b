/** Interface of one entry's view of the fleet. */
import type {
  Backlogs,
  Capacities,
  CrashWatch,
  EndpointLimits,
  EndpointList,
  EndpointTracker,
  FairShares,
  KeyCheck,
  PeerDigest,
  PeerRegistry,
  RouteIndex,
  StreamOrigins,
  TopicConfirmation,
} from "@trefoildoor/core";
import type { FleetState } from "./peer_link.ts";

/** View of the fleet; it is updated while it is in use. */
export interface FleetView {
  readonly endpoints: EndpointList;
  readonly endpointTracker: EndpointTracker;
  readonly capacities: Capacities;
  readonly backlogs: Backlogs;
  readonly crashes: CrashWatch;
  readonly limits: EndpointLimits;
  readonly origins: StreamOrigins;
  readonly peers: PeerRegistry;
  /** Whether the list of endpoints is recent enough to send calls by it. */
  readonly listing: TopicConfirmation;
  /** Whether the routing configuration is recent enough to route calls by it. */
  readonly configuring: TopicConfirmation;
  /** Whether calls may run under their keys. */
  readonly keys: KeyCheck;
  /** Shares of workspaces in the room of each service. */
  readonly shares: FairShares;
  /** Route index of the configuration in force; undefined before the first. */
  readonly getVersion: () => RouteIndex | undefined;
  /** Configuration, endpoints and crash evidence that this instance sends to peers on request. */
  readonly getState: () => FleetState;
  /** Fields of this instance's digest on what it has read of the store. */
  readonly getStoreStatus: () => StoreStatus;
  /** Time since the list of endpoints was last known to be current, in ms; Infinity before the first read. */
  readonly getListAgeMs: () => number;
  /** Applies a digest and returns when it was sent, in ms of `performance.now()`; undefined if it is outdated. Fetches the sender's state if its configuration or list of endpoints is newer. */
  readonly acceptDigest: (
    digest: PeerDigest,
    fetchState: (address: string) => Promise<FleetState>,
  ) => number | undefined;
}

/** Fields of a digest on what its sender has read of the store. */
export type StoreStatus = Pick<
  PeerDigest,
  | "versionAgeMs"
  | "listNext"
  | "listChanged"
  | "listAgeMs"
  | "readsStore"
  | "storeEra"
>;
