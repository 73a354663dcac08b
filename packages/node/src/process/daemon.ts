/** Start and planned stop of one instance. */
import {
  createStopBound,
  logEvent,
  Outcome,
  RecordKind,
  type Refusal,
  RefusalReason,
  type StopBound,
  waitFor,
} from "@trefoildoor/core";
import { type Either, Left, Right } from "purify-ts";
import { type Gateway, openGateway } from "../connection/gateway.ts";
import { openPeerServer, type PeerServer } from "../connection/peers/index.ts";
import { daemonEvents } from "../events.ts";
import { createCompletionsApp } from "../request/completions_app.ts";
import { createHealthApp, type Health } from "../request/health_app.ts";
import { refuseNotRun } from "../request/refusals.ts";
import { createServicesApp } from "../request/services_app.ts";
import type { Environment, Settings } from "../settings/index.ts";
import type { VersionView } from "../version/view.ts";
import { acceptDigest, buildDigest } from "./exchange.ts";
import { createInstance, type Instance } from "./instance.ts";
import { serveCall, serveCompletion } from "./serving.ts";
import { runTasks } from "./tasks.ts";
import { createWorkCount, type WorkCount } from "./work_count.ts";

const noBundleRetryDelayMs = 1_000;
/**
 * Time after the start, in ms, for which an instance that is not registered is
 * not ready: until then it refuses all calls that must not repeat. After that
 * it serves what it can, as the log may take no appends.
 */
const registrationWaitMs = 5_000;
/** Timeout for appending the last records of a stop to the log, in ms. */
const recordTimeoutMs = 3_000;
const closeTimeoutMs = 5_000;
/** Time before the deadline of a stop at which the calls in progress end, in ms, so that their callers read the answers. */
const answerMarginMs = 400;

/** A running instance. */
export interface Daemon {
  readonly callerAddress: string;
  readonly peerAddress: string;
  readonly getHealth: () => Health;
  /** Refuses new work, waits for work in flight up to the deadline and closes all connections. */
  readonly stop: () => Promise<void>;
}

/** Phases of a started instance up to its stop. */
enum Phase {
  Serving = "serving",
  /** Reports that it isn't ready, but still accepts what the load balancer sends. */
  Leaving = "leaving",
  /** Refuses new work. */
  Draining = "draining",
}

interface Lifecycle {
  phase: Phase;
  /** In ms of `performance.now()`. */
  readonly startedMs: number;
}

/** Starts an instance; resolves once it listens. */
export async function startDaemon(
  settings: Settings,
  environment: Environment,
): Promise<Daemon> {
  const lifecycle: Lifecycle = {
    phase: Phase.Serving,
    startedMs: performance.now(),
  };
  // The peer server's handlers need the instance, which needs the server's address.
  const started: { instance?: Instance } = {};
  const peerServer = await openPeerServer(settings.peers, {
    environment,
    onRefused: () => logEvent(daemonEvents.peerRefused),
    dependencies: {
      exchange: (digest) => {
        const current = getStarted(started);
        acceptDigest(current, digest);
        return buildDigest(current, { stopping: isStopping(lifecycle) });
      },
      getControlState: () => getStarted(started).streams.control.getState(),
    },
  });
  const instance = createInstance(settings, {
    environment,
    peerAddress: peerServer.address,
  });
  started.instance = instance;
  const work = createWorkCount();
  const stopBound = createStopBound();
  const getHealth = (): Health => readHealth(getStarted(started), lifecycle);
  const gateway = await openGateway(settings.callers, {
    environment,
    apps: createApps(instance, lifecycle, { work, stopBound, getHealth }),
    onFailure: (error) =>
      logEvent(daemonEvents.handlerFailed, { error: String(error) }),
  });
  const tasks = runTasks(instance, {
    isStopping: () => isStopping(lifecycle),
    readGauges: () => ({
      inFlight: work.getCount(),
      controlAgeMs: instance.streams.control.getAgeMs(),
      version: getHealth().version,
      usableEngines: instance.table.listViews().filter(({ usable }) =>
        usable
      ).length,
    }),
  });
  const dependencies = {
    instance,
    lifecycle,
    work,
    stopBound,
    gateway,
    peerServer,
    tasks,
  };
  logEvent(daemonEvents.started, {
    instance: instance.name,
    callers: gateway.address,
    peers: peerServer.address,
  });
  return {
    callerAddress: gateway.address,
    peerAddress: peerServer.address,
    getHealth,
    stop: () => stopInstance(dependencies),
  };
}

function createApps(
  instance: Instance,
  lifecycle: Lifecycle,
  options: {
    readonly work: WorkCount;
    readonly stopBound: StopBound;
    readonly getHealth: () => Health;
  },
): Parameters<typeof openGateway>[1]["apps"] {
  const { serving, settings } = instance;
  const { stopBound } = options;
  const pinVersion = (): Either<Refusal, VersionView> =>
    pickVersion(instance, lifecycle);
  return [
    options.work.countApp(createCompletionsApp({
      pinVersion,
      stream: (call, version, { signal }) =>
        serveCompletion(call, version, {
          dependencies: serving,
          signal,
          stopBound,
        }),
      writeTimeoutMs: settings.callers.write_timeout_ms,
    })),
    options.work.countApp(createServicesApp({
      pinVersion,
      runCall: (call, version, { caller }) =>
        serveCall(call, version, { dependencies: serving, caller }),
      stopBound,
    })),
    createHealthApp(options.getHealth),
  ];
}

function pickVersion(
  instance: Instance,
  lifecycle: Lifecycle,
): Either<Refusal, VersionView> {
  if (lifecycle.phase === Phase.Draining) {
    return Left(
      refuseNotRun(RefusalReason.Stopping, "Instance is stopping", {
        retryAfterMs: 0,
      }),
    );
  }
  const version = instance.getVersion();
  if (version) return Right(version);
  return Left(
    refuseNotRun(RefusalReason.NoBundle, "No bundle is in force", {
      retryAfterMs: noBundleRetryDelayMs,
    }),
  );
}

function readHealth(instance: Instance, lifecycle: Lifecycle): Health {
  const version = instance.getVersion()?.bundle.version ?? 0;
  const reason = findNotReadyReason(instance, lifecycle);
  return {
    ready: reason === undefined,
    reason,
    instance: instance.name,
    failureDomain: instance.settings.failure_domain,
    version,
  };
}

function findNotReadyReason(
  instance: Instance,
  lifecycle: Lifecycle,
): string | undefined {
  if (isStopping(lifecycle)) return "instance is stopping";
  if (!instance.streams.control.isStarted()) {
    return "control state is not known";
  }
  if (!instance.getVersion()) return "no bundle is in force";
  const isStarting =
    performance.now() - lifecycle.startedMs < registrationWaitMs;
  if (isStarting && !instance.serving.isRegistered()) {
    return "instance is not registered in the log";
  }
  const usable = instance.table.listViews().some((view) => view.usable);
  return usable || instance.getVersion()?.engines.size === 0
    ? undefined
    : "no engine is usable";
}

interface StopDependencies {
  readonly instance: Instance;
  readonly lifecycle: Lifecycle;
  readonly work: WorkCount;
  readonly stopBound: StopBound;
  readonly gateway: Gateway;
  readonly peerServer: PeerServer;
  /** Resolves once the background tasks have ended. */
  readonly tasks: Promise<void>;
}

async function stopInstance(dependencies: StopDependencies): Promise<void> {
  const { instance, lifecycle, work } = dependencies;
  const { notice_ms: noticeMs, deadline_ms: deadlineMs } =
    instance.settings.stop;
  logEvent(daemonEvents.stopRequested, { inFlight: work.getCount() });
  lifecycle.phase = Phase.Leaving;
  dependencies.stopBound.start(noticeMs + deadlineMs - answerMarginMs);
  await waitFor(noticeMs);
  lifecycle.phase = Phase.Draining;
  const left = await work.waitUntilIdle(deadlineMs);
  if (left > 0) logEvent(daemonEvents.stopCut, { calls: left });
  const closing = dependencies.gateway.close();
  await waitAtMost(instance.callTracker.drain(), recordTimeoutMs);
  instance.abortController.abort();
  const records = Promise.all([dependencies.tasks, recordStop(instance)]);
  await waitAtMost(records, recordTimeoutMs);
  // A connection to an unresponsive peer or endpoint must not delay the stop.
  await waitAtMost(instance.close(), closeTimeoutMs);
  await waitAtMost(dependencies.peerServer.close(), closeTimeoutMs);
  if (left === 0) await waitAtMost(closing, closeTimeoutMs);
  logEvent(daemonEvents.stopped, {
    outcome: left === 0 ? Outcome.Done : Outcome.Unknown,
  });
}

async function recordStop(instance: Instance): Promise<void> {
  const { control } = instance.streams;
  const record = {
    kind: RecordKind.InstanceStopped,
    instance: instance.name,
  } as const;
  await control.append([record]).catch(() => undefined);
}

async function waitAtMost(
  operation: Promise<unknown>,
  timeoutMs: number,
): Promise<void> {
  await Promise.race([operation, waitFor(timeoutMs)]);
}

function isStopping(lifecycle: Lifecycle): boolean {
  return lifecycle.phase === Phase.Leaving ||
    lifecycle.phase === Phase.Draining;
}

function getStarted(started: { readonly instance?: Instance }): Instance {
  if (!started.instance) throw new Error("Instance is starting");
  return started.instance;
}
