/** Start and planned stop of an entry: one process before the endpoints. */
import { randomBytes } from "node:crypto";
import { createServer, type Server } from "node:http";
import {
  answerEnd,
  buildNotRun,
  type CallerAnswer,
  createPrefillSpeeds,
  createSharedBudget,
  fleetEvents,
  type ForwardDependencies,
  type LogEvent,
  type PeerDigest,
  RefusalReason,
  runForward,
  waitFor,
} from "@trefoildoor/core";
import { type Channels, createChannels } from "./channels.ts";
import { createEndpointSender } from "./endpoint_sender.ts";
import { type EntryRoles, startRoles } from "./entry_roles.ts";
import { entryEvents } from "./events.ts";
import { type FleetView, openFleetView } from "./fleet_view.ts";
import {
  type FrontRequest,
  type FrontServer,
  listen,
  openFrontServer,
} from "./front_server.ts";
import { type EntryMetrics, openMetrics } from "./metrics.ts";
import { openPeerLink, type PeerLink } from "./peer_link.ts";
import type { EntryPlatform, StoreTopics } from "./platform.ts";
import type { EntrySettings } from "./settings.ts";

/** A running entry. */
export interface Entry {
  /** Ends new work, waits for calls in flight, and closes everything. */
  readonly stop: () => Promise<void>;
}

/** What an entry is started with. */
export interface EntryOptions {
  readonly platform: EntryPlatform;
  readonly logEvent: LogEvent;
  readonly countDroppedLines: () => number;
}

const ok = 200;
const badRequest = 400;
const notFound = 404;
const unavailable = 503;
const msPerSecond = 1_000;
const noConfigurationRetryMs = 400;
const registerRetryMs = 500;
/** Time before the platform's kill at which calls in flight are cut, in ms. */
const killMarginMs = 400;
const openCheckMs = 50;
/** Random bytes that tell one start from another in digests. */
const startBytes = 4;

/** Parts of a started entry, which live as long as the process. */
interface Running {
  readonly settings: EntrySettings;
  readonly options: EntryOptions;
  readonly channels: Channels;
  readonly topics: StoreTopics;
  readonly fleet: FleetView;
  readonly roles: EntryRoles;
  readonly metrics: EntryMetrics;
  readonly parts: ForwardDependencies;
  readonly ending: AbortController;
  readonly life: Life;
}

/** What changes while an entry runs. */
interface Life {
  stopping: boolean;
  ready: boolean;
  front?: FrontServer;
  link?: PeerLink;
}

/** Starts an entry; resolves once it listens. */
export async function startEntry(
  settings: EntrySettings,
  options: EntryOptions,
): Promise<Entry> {
  const running = await createRunning(settings, options);
  const { fleet, life } = running;
  const link = await openLink(running);
  life.link = link;
  fleet.endpointTracker.onChange(link.tellSoon);
  life.front = await openFrontServer({
    address: settings.callers,
    answer: (request, answer) => answerCall(running, { request, answer }),
    onFailure: (error) =>
      options.logEvent(entryEvents.handlerFailed, { error: String(error) }),
  });
  const version = fleet.getVersion();
  if (version) life.front.applyLimits(version.limits);
  const readiness = await openReadiness(running);
  void registerInstance(running);
  options.logEvent(entryEvents.started, {
    instance: settings.instance,
    failureDomain: settings.failure_domain,
    callers: settings.callers,
    peers: settings.peers,
    startMs: Math.round(performance.now()),
  });
  return { stop: () => stopEntry(running, { link, readiness }) };
}

async function createRunning(
  settings: EntrySettings,
  options: EntryOptions,
): Promise<Running> {
  const { platform } = options;
  const ending = new AbortController();
  const channels = createChannels();
  const life: Life = { stopping: false, ready: false };
  const metrics = await openMetrics(settings.metrics, {
    readGauges: () => ({
      openCalls: life.front?.countOpen() ?? 0,
      openedConnections: channels.countOpened(),
      configurationVersion: fleet.getVersion()?.version ?? 0,
      listAgeMs: fleet.getListAgeMs(),
      heardInstances: fleet.peers.countInstances(),
      droppedLogLines: options.countDroppedLines(),
    }),
  });
  const logEvent: LogEvent = (event, fields) => {
    metrics.noteEvent(event.number);
    options.logEvent(event, fields);
  };
  const topics = platform.openTopics({
    address: settings.store,
    channels,
    onUnusable: (record) => logEvent(fleetEvents.recordUnusable, { ...record }),
    onCall: metrics.noteStoreCall,
  });
  const fleet = openFleetView({
    settings,
    topics,
    channels,
    onVersion: ({ limits }) => life.front?.applyLimits(limits),
    onNews: () => life.link?.tellSoon(),
    isStopping: () => life.stopping,
    logEvent,
    signal: ending.signal,
  });
  const roles = startRoles({
    settings,
    platform,
    channels,
    fleet,
    topics,
    logEvent,
    isStopping: () => life.stopping,
    signal: ending.signal,
  });
  const parts = buildParts({
    settings,
    platform,
    channels,
    fleet,
    roles,
    logEvent,
  });
  return {
    settings,
    options: { ...options, logEvent },
    channels,
    topics,
    fleet,
    roles,
    metrics,
    parts,
    ending,
    life,
  };
}

function buildParts(from: {
  readonly settings: EntrySettings;
  readonly platform: EntryPlatform;
  readonly channels: Channels;
  readonly fleet: FleetView;
  readonly roles: EntryRoles;
  readonly logEvent: LogEvent;
}): ForwardDependencies {
  const { settings, fleet, roles, logEvent } = from;
  const { ratio, slack, window_s: windowS } = settings.repeats;
  return {
    sender: createEndpointSender(from.platform.codec, {
      channels: from.channels,
      logEvent,
    }),
    endpoints: fleet.endpoints,
    endpointTracker: fleet.endpointTracker,
    speeds: createPrefillSpeeds(),
    budget: createSharedBudget(
      { ratio, slack, windowMs: windowS * msPerSecond },
      { countInstances: fleet.peers.countInstances },
    ),
    isChangingRole: roles.isChanging,
    ownDomain: settings.failure_domain,
    random: Math.random,
    logEvent,
  };
}

async function answerCall(
  running: Running,
  { request, answer }: {
    readonly request: FrontRequest;
    readonly answer: CallerAnswer;
  },
): Promise<void> {
  const version = running.fleet.getVersion();
  if (!version) {
    return answerEnd(
      buildNotRun(RefusalReason.NoBundle, "no configuration is in force", {
        retryAfterMs: noConfigurationRetryMs,
      }),
      answer,
    );
  }
  const call = running.options.platform.codec.decodeCall(request);
  if (!call) {
    running.options.logEvent(entryEvents.callMalformed, {
      method: request.method,
    });
    return answer.start(badRequest, [], { length: 0 }), answer.end();
  }
  const end = await runForward(call, version, { answer, parts: running.parts });
  running.metrics.noteCall({
    route: end.route ?? "none",
    end,
    tookMs: performance.now() - request.receivedMs,
  });
}

function openLink(running: Running): Promise<PeerLink> {
  const { settings, fleet, roles, life, options, ending } = running;
  const start = randomBytes(startBytes).toString("hex");
  let sequence = 0;
  const buildDigest = (): PeerDigest => ({
    start,
    sequence: sequence += 1,
    name: settings.instance,
    address: settings.peers,
    failureDomain: settings.failure_domain,
    version: fleet.getVersion()?.version ?? 0,
    ...fleet.describeList(),
    loads: fleet.endpointTracker.getReports(),
    reads: fleet.endpointTracker.listPartReports(),
    down: fleet.endpointTracker.listDown(),
    changing: roles.listOrdered(),
    stopping: life.stopping,
  });
  return openPeerLink({
    failureDomain: settings.failure_domain,
    address: settings.peers,
    peers: fleet.peers,
    channels: running.channels,
    buildDigest,
    getState: fleet.getState,
    onDigest: (digest) => {
      const { link } = life;
      if (link) fleet.takeDigest(digest, link.fetchState);
    },
    onFailure: (error) =>
      options.logEvent(entryEvents.linkFailed, { error: String(error) }),
    signal: ending.signal,
  });
}

/** Answers the balancer, which reads the status alone. */
async function openReadiness(running: Running): Promise<Server> {
  const { settings } = running;
  const server = createServer((request, response) => {
    request.resume();
    const known = request.url === settings.readiness_path;
    const status = isReady(running) ? ok : unavailable;
    response.writeHead(known ? status : notFound, { "content-length": 0 });
    response.end();
  });
  await listen(server, settings.readiness);
  return server;
}

function isReady(running: Running): boolean {
  const { fleet, life, options } = running;
  const reason = findReason(running);
  const ready = reason === undefined;
  if (ready !== life.ready) {
    life.ready = ready;
    options.logEvent(ready ? entryEvents.ready : entryEvents.notReady, {
      reason,
      version: fleet.getVersion()?.version ?? 0,
      endpoints: fleet.endpoints.listAll().length,
      sinceStartMs: Math.round(performance.now()),
    });
  }
  return ready;
}

function findReason({ fleet, life }: Running): string | undefined {
  if (life.stopping) return "entry is stopping";
  if (!fleet.getVersion()) return "no configuration is in force";
  return fleet.endpoints.listAll().length === 0
    ? "no endpoint is listed"
    : undefined;
}

/** Registers this instance, so that the others find it. */
async function registerInstance(running: Running): Promise<void> {
  const { settings, topics, options, ending } = running;
  const entry = {
    name: settings.instance,
    address: settings.peers,
    failureDomain: settings.failure_domain,
  };
  while (!ending.signal.aborted) {
    try {
      await topics.instances.append({ key: entry.name, value: entry }, {
        signal: ending.signal,
      });
      return;
    } catch (error) {
      options.logEvent(entryEvents.notRegistered, { error: String(error) });
      await waitFor(registerRetryMs, ending.signal);
    }
  }
}

async function stopEntry(
  running: Running,
  { link, readiness }: { readonly link: PeerLink; readonly readiness: Server },
): Promise<void> {
  const { settings, life, options, ending } = running;
  const { front } = life;
  const stoppedMs = performance.now();
  const killMs = settings.stop.grace_s * msPerSecond - killMarginMs;
  options.logEvent(entryEvents.stopRequested, { open: front?.countOpen() });
  life.stopping = true;
  front?.startLeaving();
  link.tellSoon();
  await waitFor(settings.stop.notice_ms);
  front?.stopTaking();
  while (
    (front?.countOpen() ?? 0) > 0 && performance.now() - stoppedMs < killMs
  ) await waitFor(openCheckMs);
  const cut = front?.countOpen();
  ending.abort();
  readiness.close();
  link.close();
  running.metrics.close();
  running.channels.close();
  options.logEvent(entryEvents.stopped, {
    cut,
    tookMs: Math.round(performance.now() - stoppedMs),
  });
}
