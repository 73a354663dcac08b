/** Start and graceful shutdown of an entry, the process that forwards calls from callers to endpoints. */
import { setMaxListeners } from "node:events";
import type { Server } from "node:http";
import {
  answerEnd,
  buildNotRun,
  type CallerAnswer,
  ConnectionAttempt,
  fleetEvents,
  type ForwardEnd,
  getPath,
  type LogEvent,
  RefusalReason,
  runForward,
  startRunningClock,
  waitFor,
  watchEndpointLinks,
} from "@trefoildoor/core";
import type { ChannelsOptions } from "./channel_sockets.ts";
import { createChannels } from "./channels.ts";
import { createCountedActivity } from "./counted_activity.ts";
import { startRoles } from "./entry_roles.ts";
import { buildDependencies } from "./forward_dependencies.ts";
import { keepCrashRecord } from "./crash_record.ts";
import { confirmConfiguration } from "./confirm_configuration.ts";
import { entryEvents } from "./events.ts";
import { openFleetView } from "./fleet_view.ts";
import { createHandOver, type HandedCall } from "./hand_over.ts";
import { openLink } from "./open_link.ts";
import { startOperatorCalls } from "./operator_calls.ts";
import { openReadiness } from "./readiness.ts";
import type { EntryState, Running } from "./running.ts";
import { type CallerRequest, openFrontServer } from "./front_server.ts";
import { openMetrics } from "./metrics.ts";
import type { PeerLink } from "./peer_link.ts";
import type { EntryPlatform } from "./platform.ts";
import { registerInstance } from "./register_instance.ts";
import type { EntrySettings } from "./settings.ts";
import { watchEventLoop } from "./watch_event_loop.ts";

/** A running entry. */
export interface Entry {
  /** Stops accepting requests, waits for open requests until shortly before the platform kills the process (`stop.grace_s`), and closes all connections. */
  readonly stop: () => Promise<void>;
  /** Cuts the answers in progress before the process ends for an error. */
  readonly abortAnswers: () => void;
}

/** Dependencies of an entry besides its settings. */
export interface EntryOptions {
  readonly platform: EntryPlatform;
  readonly logEvent: LogEvent;
  /** Number of log lines dropped since the start of the process. */
  readonly countDroppedLines: () => number;
  /** Opens sockets to endpoints, the store and other instances; `connect` of `node:net` by default. */
  readonly connect?: ChannelsOptions["connect"];
}

/** Tasks and calls that may wait for the shutdown at a time before Node.js warns of a leak. */
const maxShutdownListeners = 1_000;
const badRequest = 400;
const msPerSecond = 1_000;
/** Retry delay told to callers while no configuration is in force, in ms. */
const noConfigurationRetryMs = 400;
/** Time before the platform's kill at which answers in progress are cut, in ms. */
const killMarginMs = 400;
/** Time before that at which the calls in progress end, so that their answers are read until then, in ms. */
const answerMarginMs = 400;
/** Interval at which a stopping entry checks for open requests, in ms. */
const drainCheckIntervalMs = 50;

/** Starts an entry; resolves once it listens, and rejects if an address cannot be bound. */
export async function startEntry(
  settings: EntrySettings,
  options: EntryOptions,
): Promise<Entry> {
  const running = await createRunning(settings, options);
  const { fleet, state } = running;
  const peerLink = await openLink(running);
  state.peerLink = peerLink;
  fleet.endpointTracker.onChange(peerLink.scheduleDigest);
  state.front = await openFrontServer({
    address: settings.callers,
    answer: (request, answer) => answerCall(running, { request, answer }),
    onFailure: (error) =>
      options.logEvent(entryEvents.handlerFailed, { error: String(error) }),
  });
  const version = fleet.getVersion();
  if (version) state.front.applyLimits(version.limits);
  const readiness = await openReadiness(running);
  running.register();
  options.logEvent(entryEvents.started, {
    instance: settings.instance,
    failureDomain: settings.failure_domain,
    callers: settings.callers,
    peers: settings.peers,
    startMs: Math.round(performance.now()),
  });
  return {
    stop: () => stopEntry(running, { peerLink, readiness }),
    abortAnswers: () => state.front?.abortAnswers(),
  };
}

async function createRunning(
  settings: EntrySettings,
  options: EntryOptions,
): Promise<Running> {
  const { platform } = options;
  const shutdown = new AbortController();
  setMaxListeners(maxShutdownListeners, shutdown.signal);
  const clock = startRunningClock(shutdown.signal);
  const channels = createChannels({
    connect: options.connect,
    observer: {
      onContact: (address, connectedMs) =>
        links.recordContact(address, connectedMs),
      onConnected: (address) => links.recordConnected(address),
      onSent: (address) => links.recordSent(address),
      onFailure: (address) => links.recordFailure(address),
    },
  });
  const state: EntryState = { stopping: false, ready: false };
  const metrics = await openMetrics(settings.metrics, {
    readGauges: () => ({
      openCalls: state.front?.countOpen() ?? 0,
      openedConnections: channels.countOpened(),
      configurationVersion: fleet.getVersion()?.version ?? 0,
      listAgeMs: fleet.getListAgeMs(),
      heardInstances: fleet.peers.countInstances(),
      knownStreams: fleet.origins.count(),
      slowEndpoints: fleet.capacities.countSlow(),
      limitedEndpoints: fleet.limits.listLimited().length,
      cutOff: links.isCut() ? 1 : 0,
      refusedTraits: fleet.crashes.listVerdicts().length,
      droppedLogLines: options.countDroppedLines(),
    }),
  });
  const logEvent: LogEvent = (event, fields) => {
    metrics.recordEvent(event.number);
    options.logEvent(event, fields);
  };
  const topics = platform.openTopics({
    address: settings.store,
    channels,
    onUnusable: (record) => logEvent(fleetEvents.recordUnusable, { ...record }),
    onCall: metrics.recordStoreCall,
  });
  const fleet = openFleetView({
    settings,
    topics,
    channels,
    clock,
    onVersion: ({ limits }) => state.front?.applyLimits(limits),
    onUpdate: () => state.peerLink?.scheduleDigest(),
    onCrashEvidence: () => crashRecord.scheduleWrite(),
    onStoreRestored(): void {
      register();
      crashRecord.writeAgain();
    },
    onListRead: (update) => state.peerLink?.sendUpdate(update),
    onDigestDelay: metrics.recordDigestDelay,
    isStopping: () => state.stopping,
    confirmEnd: (address) => links.confirmEnd(address),
    fetchOrigin: async (key) => await state.peerLink?.fetchOrigin(key),
    logEvent,
    signal: shutdown.signal,
  });
  const links = watchEndpointLinks({
    listAddresses: () =>
      fleet.endpoints.listAll().flatMap(({ address, leaving }) =>
        leaving ? [] : [address]
      ),
    probe: async (address, timeoutMs) =>
      await channels.probe(address, timeoutMs) === ConnectionAttempt.Opened,
    onChange(cut): void {
      state.peerLink?.scheduleDigest();
      // Connections of the time before the cut may never answer again.
      for (const { address } of fleet.endpoints.listAll()) {
        channels.closeIdle(address);
      }
      if (!cut) fleet.endpointTracker.clearFailures();
    },
    onNews: () => state.peerLink?.scheduleDigest(),
    countPeers: () => fleet.peers.listLive().filter(({ cut }) => !cut).length,
    clock,
    logEvent,
    signal: shutdown.signal,
  });
  watchEventLoop({
    onDelay: metrics.recordLoopDelay,
    logEvent,
    signal: shutdown.signal,
  });
  const register = (): void =>
    void registerInstance({
      settings,
      topic: topics.instances,
      logEvent,
      signal: shutdown.signal,
    });
  const crashRecord = keepCrashRecord({
    instance: settings.instance,
    topic: topics.crashes,
    crashes: fleet.crashes,
    logEvent,
    signal: shutdown.signal,
  });
  const roles = startRoles({
    settings,
    platform,
    channels,
    fleet,
    topics,
    logEvent,
    isStopping: () => state.stopping,
    isCut: links.isCut,
    signal: shutdown.signal,
  });
  const activity = createCountedActivity(settings);
  const operatorCalls = activity && startOperatorCalls({
    settings,
    platform,
    channels,
    fleet,
    topics,
    time: activity.time,
    getActivity: activity.recorder.getReport,
    getTokensPerMs: fleet.capacities.prompts.getTokensPerMs,
    isStopping: () => state.stopping,
    logEvent,
    signal: shutdown.signal,
  });
  const dependencies = buildDependencies({
    activity,
    settings,
    platform,
    channels,
    fleet,
    roles,
    metrics,
    state,
    clock,
    logEvent,
  });
  return {
    settings,
    options: { ...options, logEvent },
    channels,
    links,
    topics,
    fleet,
    roles,
    activity,
    operatorCalls,
    metrics,
    dependencies,
    handOver: createHandOver({
      settings,
      fleet,
      channels,
      options: { ...options, logEvent },
      dependencies,
    }),
    shutdown,
    state,
    register,
  };
}

async function answerCall(
  running: Running,
  { request, answer }: {
    readonly request: CallerRequest;
    readonly answer: CallerAnswer;
  },
): Promise<void> {
  const { fleet, options } = running;
  if (!fleet.getVersion()) return refuseWithoutVersion(answer);
  const call = options.platform.codec.decodeCall(request);
  if (!call) {
    options.logEvent(entryEvents.callMalformed, { method: request.method });
    return answer.start(badRequest, [], { length: 0 }), answer.end();
  }
  await confirmConfiguration(running, call);
  const version = fleet.getVersion();
  if (!version) return refuseWithoutVersion(answer);
  const end = await runAtPeer(running, { request, call, answer }) ??
    await runForward(call, version, { answer, parts: running.dependencies });
  running.metrics.recordCall({
    route: end.route ?? "none",
    end,
    tookMs: performance.now() - request.receivedMs,
  });
}

function refuseWithoutVersion(answer: CallerAnswer): void {
  answerEnd(
    buildNotRun(RefusalReason.NoBundle, "no configuration is in force", {
      retryAfterMs: noConfigurationRetryMs,
    }),
    answer,
  );
}

/** Hands the call to a peer if this instance is cut off from the endpoints; undefined if it is to run here. */
async function runAtPeer(
  { links, fleet, handOver }: Running,
  handed: Omit<HandedCall, "route">,
): Promise<ForwardEnd | undefined> {
  if (!links.isCut()) return undefined;
  const { call } = handed;
  const route = fleet.getVersion()?.findRoute(call.host, getPath(call.target));
  return route && await handOver.run({ ...handed, route });
}

async function stopEntry(
  running: Running,
  { peerLink, readiness }: {
    readonly peerLink: PeerLink;
    readonly readiness: Server;
  },
): Promise<void> {
  const { settings, state, options, shutdown } = running;
  const { front } = state;
  const { stopBound } = running.dependencies;
  const stopRequestedMs = performance.now();
  const drainTimeoutMs = settings.stop.grace_s * msPerSecond - killMarginMs;
  options.logEvent(entryEvents.stopRequested, { open: front?.countOpen() });
  state.stopping = true;
  stopBound.start(drainTimeoutMs - answerMarginMs);
  front?.startLeaving();
  peerLink.scheduleDigest();
  // New requests are still accepted while the load balancer notices that the entry isn't ready.
  await waitFor(settings.stop.notice_ms);
  stopBound.endNotice();
  front?.stopAccepting();
  while (
    (front?.countOpen() ?? 0) + (state.countTakenOver?.() ?? 0) > 0 &&
    performance.now() - stopRequestedMs < drainTimeoutMs
  ) await waitFor(drainCheckIntervalMs);
  const cut = front?.countOpen();
  front?.abortAnswers();
  shutdown.abort();
  readiness.close();
  peerLink.close();
  running.metrics.close();
  running.channels.close();
  options.logEvent(entryEvents.stopped, {
    cut,
    tookMs: Math.round(performance.now() - stopRequestedMs),
  });
}
