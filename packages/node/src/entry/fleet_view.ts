/**
 * The fleet as one entry keeps it: configuration, endpoints and instances from
 * the store, and from other instances while the store is out of reach.
 */
import {
  buildRouteIndex,
  createEndpointList,
  createEndpointTracker,
  createPeerRegistry,
  type EndpointList,
  type EndpointTracker,
  fleetEvents,
  type FollowedTopic,
  followTopic,
  type LogEvent,
  type PeerDigest,
  type PeerRegistry,
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
  readonly endpointTracker: EndpointTracker;
  readonly peers: PeerRegistry;
  readonly getVersion: () => RouteIndex | undefined;
  readonly getState: () => FleetState;
  /** What digests say of the list of endpoints. */
  readonly describeList: () => ListNews;
  readonly getListAgeMs: () => number;
  /** Takes a digest; fetches the sender's state if this instance is behind. */
  readonly takeDigest: (
    digest: PeerDigest,
    fetchState: (address: string) => Promise<FleetState>,
  ) => void;
}

/** What digests say of the list of endpoints. */
type ListNews = Pick<
  PeerDigest,
  "listNext" | "listChanged" | "listAgeMs" | "readsStore"
>;

/** What the view works with. */
export interface FleetViewOptions {
  readonly settings: EntrySettings;
  readonly topics: StoreTopics;
  readonly channels: Channels;
  readonly onVersion: (version: RouteIndex) => void;
  /** Called with news that other instances should hear soon. */
  readonly onNews: () => void;
  readonly isStopping: () => boolean;
  readonly logEvent: LogEvent;
  readonly signal: AbortSignal;
}

/** Reads of the list within the time in which a leaving endpoint has to be known. */
const readsPerLeaving = 3;
/** Longest time that the store holds reads of topics that change rarely, in ms. */
const longPollMs = 10_000;
const longPollIntervalMs = 20;
/** Age of the own list above which another instance's newer one is taken, in ms. */
const staleListMs = 1_300;
/** Reads of the list that a domain's reader may miss before others read for themselves. */
const missedReads = 2;
/** Time after a start in which new instances are read of, in ms: those that start together register in it. */
const firstLookMs = 5_000;
/** Age of a list that was never read, as digests say it, in ms. */
const neverReadMs = 1e9;

/** Starts following the store. */
export function openFleetView(options: FleetViewOptions): FleetView {
  const { settings, topics, logEvent, signal } = options;
  let version: RouteIndex | undefined;
  let fetching = false;
  let reading = true;
  const startedMs = performance.now();
  const intervalMs = settings.leaving_ms / readsPerLeaving;
  const endpointTracker = createEndpointTracker({ logEvent });
  const peers = createPeerRegistry({ instance: settings.instance, logEvent });
  const endpoints = createEndpointList({
    getSinceRecoveryMs: () => list.getSinceRecoveryMs(),
    onReplaced(endpoint): void {
      endpointTracker.forget(endpoint.name);
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
    options.onNews();
  }

  /**
   * One instance of each failure domain reads the store for the others: the
   * first by name whose reads succeed. Whoever hears nothing fresh reads too.
   */
  function isReader(): boolean {
    const others = peers.listLive().some((peer) =>
      peer.failureDomain === settings.failure_domain && peer.readsStore &&
      !peer.stopping && peer.name < settings.instance
    );
    const stale = list.getAgeMs() > intervalMs * missedReads;
    const reads = !others || stale || options.isStopping();
    if (reads !== reading) {
      reading = reads;
      logEvent(reads ? fleetEvents.readerBegan : fleetEvents.readerEnded, {
        listAgeMs: Math.round(Math.min(list.getAgeMs(), neverReadMs)),
        listNext: endpoints.getOffsets().next,
      });
    }
    return reads;
  }

  const configuration: FollowedTopic = followTopic(topics.configuration, {
    name: "configuration",
    intervalMs: longPollIntervalMs,
    longPollMs,
    onPage: ({ records }) => {
      for (const { value } of records) {
        if (value) applyConfiguration(value, "store");
      }
    },
    isNeeded: isReader,
    signal,
    logEvent,
  });
  const instances: FollowedTopic = followTopic(topics.instances, {
    name: "instances",
    intervalMs: longPollIntervalMs,
    longPollMs,
    onPage: ({ records }) => {
      for (const { value } of records) if (value) peers.register(value);
    },
    isNeeded: () => performance.now() - startedMs < firstLookMs || isReader(),
    signal,
    logEvent,
  });
  const list: FollowedTopic = followTopic(topics.endpoints, {
    name: "endpoints",
    intervalMs,
    longPollMs: 0,
    onPage: (page) => {
      endpoints.apply(page);
      // Others go by the age of this read.
      options.onNews();
    },
    isNeeded: isReader,
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
    const { next } = endpoints.getOffsets();
    const stale = list.getAgeMs() > staleListMs && digest.listNext > next;
    return stale || (!isReader() && digest.listChanged > next);
  }

  /** Notes that another instance has read on and found no change. */
  function noteUnchanged(digest: PeerDigest): void {
    const { next } = endpoints.getOffsets();
    if (digest.listNext < next || digest.listChanged > next) return;
    endpoints.advanceTo(digest.listNext);
    list.advanceTo(digest.listNext, digest.listAgeMs);
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
      const takes = !isReader() || list.getAgeMs() > staleListMs;
      if (takes && endpoints.merge(state.endpoints)) {
        list.advanceTo(state.endpoints.next, digest.listAgeMs);
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
    endpointTracker,
    peers,
    getVersion: () => version,
    getState: () => ({
      configuration: version?.configuration,
      endpoints: endpoints.getSnapshot(),
    }),
    describeList(): ListNews {
      const { next, changed } = endpoints.getOffsets();
      return {
        listNext: next,
        listChanged: changed,
        listAgeMs: Math.min(Math.round(list.getAgeMs()), neverReadMs),
        readsStore: reading && list.getReadAgeMs() < intervalMs * missedReads,
      };
    },
    getListAgeMs: () => list.getAgeMs(),
    takeDigest(digest, fetchState): void {
      if (!peers.acceptDigest(digest)) return;
      endpointTracker.applyReports(digest.name, digest);
      noteUnchanged(digest);
      if (!fetching && isBehind(digest)) void takeState(digest, fetchState);
    },
  };
}
