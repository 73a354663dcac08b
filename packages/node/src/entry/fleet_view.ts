/**
 * One entry's view of the fleet: configuration, endpoints and instances, read
 * from the store by one instance per failure domain and passed on to the
 * others, which also serve as the source while the store is unreachable.
 */
import {
  addMs,
  createBacklogs,
  createCapacities,
  createCrashWatch,
  createEndpointLimits,
  createEndpointList,
  createEndpointTracker,
  createFairShares,
  createKeyCheck,
  createListUpdates,
  createPeerRegistry,
  createStreamOrigins,
  createTopicConfirmation,
  EndSign,
  fleetEvents,
  type FollowedTopic,
  followTopic,
  hasFreeEndpoints,
  type Instant,
  isTrialOwner,
  keepVersionRecord,
  type ListedEndpoint,
  noInstant,
  originRetentionMs,
  type PeerDigest,
  takeInstant,
} from "@trefoildoor/core";
import { createReaderChoice } from "./choose_reader.ts";
import { createConfigurationInForce } from "./configuration_in_force.ts";
import { createDelayRecorder } from "./delay_recorder.ts";
import type { FleetViewOptions } from "./fleet_view_options.ts";
import type { FleetView, StoreStatus } from "./fleet_view_types.ts";
import { formatAge } from "./format_age.ts";
import { estimateNewsDelayMs, type FleetState } from "./peer_link.ts";

/** Number of reads of the list of endpoints per `leaving_ms`, the time after which a leaving endpoint gets no new work. */
const readsPerLeavingTime = 3;
/** Time for which the store may hold a read of the configuration, as a share of `configuration_ms`. */
const configurationPollShare = 1 / 4;
/** Timeout of such a read in addition, as a share of `configuration_ms`: a read on a silent connection ends in time for another one. */
const configurationTimeoutShare = 1 / 2;
/** Age of the configuration up to which calls are routed by it, as a share of `configuration_ms`. */
const configurationAgeShare = 0.85;
/** Pause between two reads of the configuration, in ms. */
const configurationIntervalMs = 20;
/** Time for which the store may hold a read of the list of instances, in ms. */
const instancesPollMs = 10_000;
/** Pause between two long polls on the list of instances, in ms: instances that start together register one after the other, and each registration ends the polls of all. */
const instancesIntervalMs = 400;
/** Age of the own list above which an instance that reads the store itself also accepts a newer list from a peer, in ms. */
const staleListMs = 1_300;
/** Read intervals after which a list counts as stale, so that the instance reads the store itself, and after which digests no longer report successful reads. */
const maxMissedReads = 2;
/** Time after the start in which every instance reads the list of instances itself, in ms; instances that start together register within this time. */
const discoveryMs = 5_000;
/** Time after the return of the store from an older copy in which its entries may be old, in ms: servers write theirs again in about 2 s. */
const restoringMs = 10_000;

/** Starts following the store's topics until `signal` aborts. */
export function openFleetView(options: FleetViewOptions): FleetView {
  const { settings, topics, logEvent, signal } = options;
  let fetching = false;
  /** Era of the store; undefined before the first read. */
  let storeEra: number | undefined;
  let restoredMs = -Infinity;
  /** Whether a peer's newer state could not be fetched, until the next own read. */
  let fetchFailed = false;
  const startedMs = performance.now();
  const intervalMs = settings.leaving_ms / readsPerLeavingTime;
  const endpointTracker = createEndpointTracker({ logEvent });
  const capacities = createCapacities({ logEvent });
  const backlogs = createBacklogs({ clock: options.clock });
  const inForce = createConfigurationInForce({
    onVersion(version): void {
      options.onVersion(version);
      options.onUpdate();
    },
    logEvent,
  });
  const limits = createEndpointLimits({
    getNewsDelayMs: () => estimateNewsDelayMs(peers, settings.failure_domain),
    logEvent,
  });
  const peers = createPeerRegistry({
    instance: settings.instance,
    clock: options.clock,
    logEvent,
  });
  const recordDelay = createDelayRecorder(options);
  const listUpdates = createListUpdates();
  const crashes = createCrashWatch({
    isAccepting: (endpoint) => endpoints.isAccepting(endpoint),
    confirmEnd: async ({ address }) =>
      await options.confirmEnd?.(address) ?? true,
    mayTry: (trait, sinceCrashMs) =>
      isTrialOwner(trait, {
        sinceCrashMs,
        own: settings.instance,
        others: peers.listLive().map(({ name }) => name),
      }),
    onChange: options.onCrashEvidence,
    logEvent,
  });
  const endpoints = createEndpointList({
    getSinceRecoveryMs: () => endpointTopic.getSinceRecoveryMs(),
    isRestoring: () => performance.now() - restoredMs < restoringMs,
    onReplaced(endpoint): void {
      endpointTracker.forget(endpoint.name);
      capacities.forget(endpoint.name);
      backlogs.forget(endpoint.name);
      limits.forget(endpoint);
      if (!endpoint.leaving) crashes.recordEnd(endpoint, EndSign.List);
      options.channels.closeIdle(endpoint.address);
    },
    logEvent,
  });
  const versionRecord = keepVersionRecord({
    topic: topics.versions,
    listEndpoints: endpoints.listAll,
    getListAgeMs: () => endpointTopic.getAgeMs(),
    isWriter: () => isReading(),
    retentionMs: originRetentionMs,
    random: Math.random,
    logEvent,
    signal,
  });
  const origins = createStreamOrigins({
    listEndpoints: endpoints.listAll,
    getListAgeMs: () => endpointTopic.getAgeMs(),
    listStored: versionRecord.list,
    addStored: versionRecord.addBegun,
    readChanges: async () =>
      (await endpointTopic.readNow())?.flatMap(({ value }) => value ?? []),
    askPeers: options.fetchOrigin,
    logEvent,
  });

  const { isReader, isReading } = createReaderChoice({
    settings,
    peers,
    getListAgeMs: () => endpointTopic.getAgeMs(),
    getListNext: () => endpoints.getOffsets().next,
    staleMs: intervalMs * maxMissedReads,
    mustRead: () => fetchFailed || options.isStopping(),
    logEvent,
  });

  /** Called with the era of each page and digest, before their content is applied. */
  function acceptEra(era = 0, from = "store"): void {
    const former = storeEra ?? era;
    storeEra = Math.max(former, era);
    if (era <= former) return;
    restoredMs = performance.now();
    logEvent(fleetEvents.storeRestored, { era, former, from });
    endpointTopic.markRestored();
    versionRecord.markRestored();
    // Long polls wait at offsets of the former era.
    configuration.interrupt();
    instances.interrupt();
    options.onStoreRestored();
  }

  const configuration: FollowedTopic = followTopic(topics.configuration, {
    name: "configuration",
    intervalMs: configurationIntervalMs,
    longPollMs: Math.round(settings.configuration_ms * configurationPollShare),
    answerTimeoutMs: settings.configuration_ms * configurationTimeoutShare,
    onPage: ({ records, era }) => {
      acceptEra(era);
      for (const { value } of records) {
        if (value) inForce.apply(value, "store");
      }
    },
    isNeeded: isReader,
    signal,
    logEvent,
  });
  const instances: FollowedTopic = followTopic(topics.instances, {
    name: "instances",
    intervalMs: instancesIntervalMs,
    longPollMs: instancesPollMs,
    onPage: ({ records, era }) => {
      acceptEra(era);
      for (const { value } of records) if (value) peers.register(value);
    },
    isNeeded: () => performance.now() - startedMs < discoveryMs || isReader(),
    signal,
    logEvent,
  });
  const endpointTopic: FollowedTopic<ListedEndpoint> = followTopic(
    topics.endpoints,
    {
      name: "endpoints",
      intervalMs,
      longPollMs: 0,
      onPage: (page) => {
        fetchFailed = false;
        acceptEra(page.era);
        const before = endpoints.getOffsets();
        endpoints.apply(page);
        listUpdates.add(page, {
          from: before.next,
          changed: endpoints.getOffsets().changed !== before.changed,
        });
        options.onListRead(listUpdates.get());
      },
      isNeeded: isReader,
      onFailure: restartPolls,
      onRegained: restartPolls,
      signal,
      logEvent,
    },
  );

  /** Called when reads of the list fail or succeed again: the connections of held reads may be unresponsive as well. */
  function restartPolls(): void {
    configuration.interrupt();
    instances.interrupt();
  }

  function isBehind(digest: PeerDigest): boolean {
    if (digest.version > (inForce.get()?.version ?? 0)) return true;
    const { next } = endpoints.getOffsets();
    const canReplaceStale = endpointTopic.getAgeMs() > staleListMs &&
      digest.listNext > next;
    // The own failure domain's reader passes changes on in fewer bytes.
    const isNear = digest.failureDomain === settings.failure_domain;
    return canReplaceStale ||
      (isNear && digest.listChanged > next && !isReader());
  }

  /** Applies the changes that a digest contains, unless changes before them are missing. */
  function applyUpdate(digest: PeerDigest, listAsOf: Instant): void {
    const { next } = endpoints.getOffsets();
    const { update, listNext } = digest;
    if (!update || update.from > next || listNext <= next) return;
    const records = update.records.filter(({ offset }) => offset >= next);
    const page = { records, next: listNext, whole: false };
    endpoints.apply(page);
    listUpdates.add(page, { from: next, changed: records.length > 0 });
    endpointTopic.advanceTo(listNext, listAsOf);
  }

  /** Advances offset and age of the own list if a peer has read further and found no change since the own offset. */
  function applyUnchanged(digest: PeerDigest, listAsOf: Instant): void {
    const { next } = endpoints.getOffsets();
    if (digest.listNext < next || digest.listChanged > next) return;
    endpoints.advanceTo(digest.listNext);
    listUpdates.advanceTo(digest.listNext);
    endpointTopic.advanceTo(digest.listNext, listAsOf);
  }

  /** Takes the age of the configuration from a peer that knows nothing newer. */
  function confirmVersion(digest: PeerDigest, sent: Instant): void {
    const isKnown = digest.version === (inForce.get()?.version ?? 0);
    if (!isKnown || typeof digest.versionAgeMs !== "number") return;
    configuration.confirmUnchanged(addMs(sent, -digest.versionAgeMs));
  }

  async function mergeState(
    digest: PeerDigest,
    { listAsOf, sent, fetchState }: {
      /** When the sender's list was read. */
      readonly listAsOf: Instant;
      /** When the digest was sent; `noInstant` if that is not known. */
      readonly sent: Instant;
      readonly fetchState: (address: string) => Promise<FleetState>;
    },
  ): Promise<void> {
    const startedMs = performance.now();
    fetching = true;
    try {
      const state = await fetchState(digest.address);
      if (state.crashes) {
        crashes.applyReports(state.crashes, performance.now() - startedMs);
      }
      if (state.limits) {
        limits.applyKnown(state.limits, performance.now() - startedMs);
      }
      if (state.configuration) {
        inForce.apply(state.configuration, digest.name);
        confirmVersion(digest, sent);
      }
      const acceptsList = !isReader() || endpointTopic.getAgeMs() > staleListMs;
      if (acceptsList && endpoints.merge(state.endpoints)) {
        listUpdates.restartAt(state.endpoints.next);
        endpointTopic.advanceTo(state.endpoints.next, listAsOf);
        logEvent(fleetEvents.peerStateAccepted, {
          instance: digest.name,
          listNext: state.endpoints.next,
          ownAgeMs: Math.min(Math.round(endpointTopic.getAgeMs()), 1e9),
        });
      }
    } catch (error) {
      fetchFailed = true;
      logEvent(fleetEvents.peerStateFailed, {
        instance: digest.name,
        error: String(error),
      });
    } finally {
      fetching = false;
    }
  }

  const configuring = createTopicConfirmation({
    name: "configuration",
    topic: configuration,
    maxAgeMs: settings.configuration_ms * configurationAgeShare,
    logEvent,
  });

  return {
    endpoints,
    endpointTracker,
    capacities,
    backlogs,
    keys: createKeyCheck({
      directory: inForce.keys,
      configuring,
      revokeMs: settings.keys.strict ? settings.keys.revoke_ms : undefined,
      logEvent,
    }),
    shares: createFairShares({
      random: Math.random,
      hasFree: (service) =>
        hasFreeEndpoints(service, { endpoints, endpointTracker }),
      logEvent,
    }),
    crashes,
    limits,
    origins,
    peers,
    listing: createTopicConfirmation({
      name: "endpoints",
      topic: endpointTopic,
      maxAgeMs: intervalMs * maxMissedReads,
      logEvent,
    }),
    configuring,
    getVersion: inForce.get,
    getState: () => ({
      configuration: inForce.get()?.configuration,
      endpoints: endpoints.getSnapshot(),
      crashes: crashes.getSnapshot(),
      limits: limits.collectReports(),
    }),
    getStoreStatus(): StoreStatus {
      const { next, changed } = endpoints.getOffsets();
      return {
        listNext: next,
        listChanged: changed,
        listAgeMs: formatAge(endpointTopic),
        versionAgeMs: formatAge(configuration),
        readsStore: isReading() &&
          endpointTopic.getReadAgeMs() < intervalMs * maxMissedReads,
        storeEra: storeEra || undefined,
      };
    },
    getListAgeMs: () => endpointTopic.getAgeMs(),
    acceptDigest(digest, fetchState): number | undefined {
      const received = takeInstant();
      if (!peers.acceptDigest(digest)) return undefined;
      if (digest.storeEra !== undefined) {
        acceptEra(digest.storeEra, digest.name);
      }
      const { ms: delayMs, reliable } = recordDelay(digest, received);
      // Instants, as the process may be stopped before they are used.
      const sentMs = received.monotonicMs - delayMs;
      const sent = reliable ? addMs(received, -delayMs) : noInstant;
      const listAsOf = addMs(sent, -digest.listAgeMs);
      const down = digest.cut ? {} : digest.down;
      endpointTracker.applyReports(digest.name, { ...digest, down });
      if (!digest.cut) capacities.applyReports(digest);
      if (digest.origins) origins.applyReports(digest.origins, digest.name);
      limits.applyReports(digest.limits, {
        instance: digest.name,
        start: digest.start,
        stopping: digest.stopping,
        delayMs: performance.now() - sentMs,
      });
      if (digest.crashes && !digest.cut) {
        crashes.applyReports(digest.crashes, performance.now() - sentMs);
      }
      applyUpdate(digest, listAsOf);
      applyUnchanged(digest, listAsOf);
      confirmVersion(digest, sent);
      if (!fetching && isBehind(digest)) {
        void mergeState(digest, { listAsOf, sent, fetchState });
      }
      return sentMs;
    },
  };
}
