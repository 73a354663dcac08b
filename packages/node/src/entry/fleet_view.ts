/**
 * The fleet as one entry keeps it: configuration, endpoints and instances from
 * the store, and from other instances while the store is out of reach.
 */
import {
  buildRouteIndex,
  createEndpointBoard,
  createEndpointList,
  createPeerBook,
  type EndpointBoard,
  type EndpointList,
  fleetEvents,
  type FollowedTopic,
  followTopic,
  type LogEvent,
  type PeerBook,
  type PeerDigest,
  type RouteIndex,
  type RoutingConfiguration,
} from "@trefoildoor/core";
import type { Channels } from "./channels.ts";
import type { FleetState } from "./peer_link.ts";
import type { StoreTopics } from "./platform.ts";
import type { EntrySettings } from "./settings.ts";

/** The fleet of one entry. */
export interface FleetView {
  readonly endpoints: EndpointList;
  readonly board: EndpointBoard;
  readonly peers: PeerBook;
  readonly getVersion: () => RouteIndex | undefined;
  readonly getState: () => FleetState;
  readonly getListNext: () => number;
  readonly getListAgeMs: () => number;
  /** Takes a digest; fetches the sender's state if this instance is behind. */
  readonly takeDigest: (
    digest: PeerDigest,
    fetchState: (address: string) => Promise<FleetState>,
  ) => void;
}

/** What the view works with. */
export interface FleetViewOptions {
  readonly settings: EntrySettings;
  readonly topics: StoreTopics;
  readonly channels: Channels;
  readonly onVersion: (version: RouteIndex) => void;
  readonly logEvent: LogEvent;
  readonly signal: AbortSignal;
}

/** Reads of the list within the time in which a leaving endpoint has to be known. */
const readsPerLeaving = 3;
/** Longest time that the store holds reads of topics that change rarely, in ms. */
const holdMs = 10_000;
const heldSpacingMs = 20;
/** Age of the own list above which another instance's newer one is taken, in ms. */
const staleListMs = 1_300;

/** Starts following the store. */
export function openFleetView(options: FleetViewOptions): FleetView {
  const { settings, topics, logEvent, signal } = options;
  let version: RouteIndex | undefined;
  let fetching = false;
  const board = createEndpointBoard({ logEvent });
  const peers = createPeerBook({ instance: settings.instance, logEvent });
  const endpoints = createEndpointList({
    getSteadyMs: () => list.getSteadyMs(),
    onReplaced(endpoint): void {
      board.forget(endpoint.name);
      options.channels.forget(endpoint.address);
    },
    logEvent,
  });

  function applyConfiguration(
    configuration: RoutingConfiguration,
    from: string,
  ): void {
    if (version && configuration.version <= version.version) {
      return logEvent(fleetEvents.configurationOlder, {
        version: configuration.version,
        inForce: version.version,
        from,
      });
    }
    version = buildRouteIndex(configuration);
    logEvent(fleetEvents.configurationInForce, {
      version: configuration.version,
      routes: configuration.routes.length,
      from,
    });
    options.onVersion(version);
  }

  const configuration: FollowedTopic = followTopic(topics.configuration, {
    name: "configuration",
    spacingMs: heldSpacingMs,
    holdMs,
    onPage: ({ records }) => {
      for (const { value } of records) {
        if (value) applyConfiguration(value, "store");
      }
    },
    signal,
    logEvent,
  });
  const instances: FollowedTopic = followTopic(topics.instances, {
    name: "instances",
    spacingMs: heldSpacingMs,
    holdMs,
    onPage: ({ records }) => {
      for (const { value } of records) if (value) peers.register(value);
    },
    signal,
    logEvent,
  });
  const list: FollowedTopic = followTopic(topics.endpoints, {
    name: "endpoints",
    spacingMs: settings.leaving_ms / readsPerLeaving,
    holdMs: 0,
    onPage: (page) => endpoints.apply(page),
    onFailure(): void {
      // Held reads may hang on connections that have gone silent as well.
      configuration.interrupt();
      instances.interrupt();
    },
    signal,
    logEvent,
  });

  function isBehind(digest: PeerDigest): boolean {
    if (digest.version > (version?.version ?? 0)) return true;
    return list.getAgeMs() > staleListMs &&
      digest.listNext > endpoints.getSnapshot().next;
  }

  async function takeState(
    digest: PeerDigest,
    fetchState: (address: string) => Promise<FleetState>,
  ): Promise<void> {
    fetching = true;
    try {
      const state = await fetchState(digest.address);
      if (state.configuration) {
        applyConfiguration(state.configuration, digest.name);
      }
      if (list.getAgeMs() > staleListMs && endpoints.merge(state.endpoints)) {
        list.advanceTo(state.endpoints.next);
        logEvent(fleetEvents.peerStateTaken, {
          instance: digest.name,
          listNext: state.endpoints.next,
          ownAgeMs: Math.min(Math.round(list.getAgeMs()), 1e9),
        });
      }
    } catch (error) {
      logEvent(fleetEvents.peerStateFailed, {
        instance: digest.name,
        error: String(error),
      });
    } finally {
      fetching = false;
    }
  }

  return {
    endpoints,
    board,
    peers,
    getVersion: () => version,
    getState: () => ({
      configuration: version?.configuration,
      endpoints: endpoints.getSnapshot(),
    }),
    getListNext: () => endpoints.getSnapshot().next,
    getListAgeMs: () => list.getAgeMs(),
    takeDigest(digest, fetchState): void {
      peers.takeDigest(digest);
      board.takeReports(digest.name, digest);
      if (!fetching && isBehind(digest)) void takeState(digest, fetchState);
    },
  };
}
