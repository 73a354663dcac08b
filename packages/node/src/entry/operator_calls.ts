/**
 * Calls to the operator, which one instance at a time makes: the live instance
 * whose name sorts first, after it has claimed them in the store. The next one
 * reads the claims as well, so that it can follow soon.
 */
import {
  type ActivityReport,
  type ActivitySource,
  type AgreedTime,
  createActivityCollector,
  createDuty,
  createPacedApi,
  createPause,
  createScaler,
  createUsageReporter,
  type LogEvent,
  type NeedOptions,
  operatorEvents,
  type PeerDigest,
  type ServiceName,
  type UsageReporter,
  waitFor,
} from "@trefoildoor/core";
import type { Channels } from "./channels.ts";
import { fetchContent } from "./fetch_content.ts";
import type { FleetView } from "./fleet_view_types.ts";
import type { EntryPlatform, StoreTopics } from "./platform.ts";
import type { EntrySettings } from "./settings.ts";

/** Dependencies of the calls to the operator. */
export interface OperatorCallsOptions {
  readonly settings: EntrySettings;
  readonly platform: EntryPlatform;
  readonly channels: Channels;
  readonly fleet: FleetView;
  readonly topics: StoreTopics;
  readonly time: AgreedTime;
  /** Counters of this instance. */
  readonly getActivity: () => ActivityReport;
  /** Prompt tokens that one engine of a service computes per ms. */
  readonly getTokensPerMs: (service: ServiceName) => number;
  readonly isStopping: () => boolean;
  readonly logEvent: LogEvent;
  readonly signal: AbortSignal;
}

/** State of the calls, for this instance's digests. */
export interface OperatorCalls {
  /** Whether the operator cannot be reached from here. */
  readonly isCut: () => boolean;
}

/** Longest report of another instance, in bytes. */
const maxReportBytes = 1_048_576;
const dutyName = "operator_calls";
const msPerSecond = 1_000;
/** Pause between two rounds of work, in ms. */
const roundMs = 500;
/** Interval at which the counters of all instances are collected, in ms: what a killed instance has counted since is lost. */
const collectIntervalMs = 1_000;
const fetchTimeoutMs = 700;
/** Interval at which the instance that would follow reads the claims, in ms. */
const observeIntervalMs = 4_000;
/** Delay after the start before this instance may call, in ms: two heartbeats, so that instances know each other first. */
const startupDelayMs = 2_000;
/** Age of the list of endpoints up to which endpoints are ordered by it, in ms. */
const maxListAgeMs = 1_500;
/** Age of each live instance's counters up to which endpoints are ordered by them, in ms: two collections, and an answer. */
const maxCountersAgeMs = 2_800;
/** Calls in a row without an answer after which another instance is to call. */
const silencesUntilCut = 3;
/** Path at which instances serve their counters to each other. */
export const activityPath = "/activity";

/** Starts the calls to the operator until the signal aborts; undefined where the settings name no operator. */
export function startOperatorCalls(
  options: OperatorCallsOptions,
): OperatorCalls | undefined {
  const { settings, fleet, logEvent, signal } = options;
  const { operator, usage } = settings;
  if (!operator) return undefined;
  const startedMs = performance.now();
  const collector = createActivityCollector();
  const pause = createPause();
  const duty = createDuty(options.topics.operator, {
    name: dutyName,
    instance: settings.instance,
    leaseMs: settings.roles.lease_ms,
    keepsFence: true,
    address: settings.peers,
    signal,
    logEvent,
  });
  const api = createPacedApi(
    options.platform.createOperatorApi(operator.address, options.channels),
    { callsPerSecond: operator.calls_per_s },
  );
  const windowMs = (usage?.window_s ?? 0) * msPerSecond;
  const reporter: UsageReporter | undefined = usage && createUsageReporter({
    duty,
    api,
    collector,
    listSources: () => listSources(options, reporter?.getNextWindow()),
    windowMs,
    retentionMs: getRetentionMs(settings),
    getDateMs: options.time.getMs,
    pause,
    logEvent,
  });
  const scaler = createScaler({
    duty,
    api,
    listServices: () => fleet.getVersion()?.configuration.services ?? [],
    listEndpoints: fleet.endpoints.listAccepting,
    mayOrder: () =>
      fleet.getListAgeMs() < maxListAgeMs && isFleetHeard(fleet) &&
      collector.hasHeardAll(
        listSources(options),
        performance.now() - maxCountersAgeMs,
      ),
    takeSample: (service) => ({
      atMs: collectedMs,
      work: collector.getOffered(service),
      openCalls: sumOpenCalls(fleet, service),
    }),
    getAbility: (service) => describeAbility(options, service),
    pause,
    logEvent,
  });
  let collectedMs = -Infinity;
  let observedMs = -Infinity;
  let cut = false;

  function updateCut(): void {
    const now = pause.countSilences() >= silencesUntilCut;
    if (now !== cut) {
      logEvent(
        now
          ? operatorEvents.operatorUnreachable
          : operatorEvents.operatorReachable,
        { failures: pause.countSilences() },
      );
    }
    cut = now;
  }

  async function runRound(): Promise<void> {
    // What was found to be cut off long ago is tried again.
    updateCut();
    const before = countBefore(fleet.peers.listLive(), settings.instance);
    const nowMs = performance.now();
    if (before === 1 && nowMs - observedMs >= observeIntervalMs) {
      observedMs = nowMs;
      await duty.observe();
    }
    const othersCan = fleet.peers.listLive().some((peer) => mayCall(peer));
    if (before > 0 || (cut && othersCan && !pause.isOver())) return;
    if (nowMs - collectedMs >= collectIntervalMs) {
      collectedMs = nowMs;
      await collector.collect(
        listSources(options, reporter?.getNextWindow()),
      );
      await scaler.advance();
    }
    await reporter?.advance();
    updateCut();
  }

  async function run(): Promise<void> {
    while (!signal.aborted) {
      await waitFor(roundMs, signal);
      const isEarly = performance.now() - startedMs < startupDelayMs;
      if (isEarly || options.isStopping() || !fleet.getVersion()) continue;
      await runRound();
    }
  }

  void run();
  return { isCut: () => cut };
}

/** Time after its end for which an instance keeps what it has counted in a window, in ms. */
export function getRetentionMs({ usage }: EntrySettings): number {
  if (!usage) return 0;
  return (usage.late_s + 2 * usage.window_s) * msPerSecond;
}

/** Number of live instances that come before this one. */
function countBefore(peers: readonly PeerDigest[], own: string): number {
  return peers.filter((peer) => mayCall(peer) && peer.name < own).length;
}

/** Whether most of the instances that the store names are heard, so that their counters are those of the fleet. */
function isFleetHeard({ peers }: FleetView): boolean {
  return 2 * peers.listLive().length >= peers.listRegistered().length;
}

function mayCall({ stopping, operatorCut }: PeerDigest): boolean {
  return !stopping && !operatorCut;
}

function sumOpenCalls(
  { endpoints, endpointTracker }: FleetView,
  service: ServiceName,
): number {
  return endpoints.listAccepting(service).reduce(
    (sum, { name }) => sum + endpointTracker.getLoad(name).calls,
    0,
  );
}

/** What the endpoints of a service can do, by the list and what this instance has learnt. */
function describeAbility(
  { fleet, settings, getTokensPerMs }: OperatorCallsOptions,
  service: ServiceName,
): NeedOptions {
  const slots = fleet.endpoints.listAccepting(service).map((each) =>
    each.slots
  );
  const version = fleet.getVersion();
  const hasEngines = version?.getService(service)?.engines !== undefined;
  const goals = version?.configuration.routes
    .filter(({ targets }) => targets.some((each) => each.service === service))
    .map(({ goalMs }) => goalMs) ?? [];
  return {
    tokensPerMs: hasEngines ? getTokensPerMs(service) : undefined,
    slots: Math.max(1, ...slots),
    prefillShare: hasEngines ? settings.roles.prefill_share : 0,
    goalMs: Math.min(...goals),
  };
}

/** All live instances as sources of counters; windows before `since` are left out. */
function listSources(
  options: OperatorCallsOptions,
  since = 0,
): readonly ActivitySource[] {
  const { settings, fleet, channels, signal } = options;
  const own = {
    name: settings.instance,
    fetch: () => Promise.resolve(options.getActivity()),
  };
  const peers = fleet.peers.listLive().map(({ name, address }) => ({
    name,
    fetch: async () =>
      await fetchContent(address, {
        maxBytes: maxReportBytes,
        path: `${activityPath}?since=${since}`,
        timeoutMs: fetchTimeoutMs,
        channels,
        signal,
      }) as ActivityReport,
  }));
  return [own, ...peers];
}

/** Leaves out the windows before the one that the path of a question names. */
export function pickActivity(
  report: ActivityReport,
  path: string,
): ActivityReport {
  const since = Number(
    new URL(path, "http://instance").searchParams.get("since"),
  );
  return {
    ...report,
    windows: report.windows.filter(({ window }) => window >= since),
  };
}
