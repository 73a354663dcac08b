/** Start and planned stop of one instance. */
import {
  logEvent,
  Outcome,
  RecordKind,
  type Refusal,
  RefusalReason,
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
import { buildDigest, takeDigest } from "./exchange.ts";
import { createInstance, type Instance } from "./instance.ts";
import { serveCall, serveCompletion } from "./serving.ts";
import { runTasks } from "./tasks.ts";
import { createWorkCount, type WorkCount } from "./work_count.ts";

const noBundleRetryMs = 1_000;
/** Longest time for the last records of a stop to reach the log, in ms. */
const recordTimeoutMs = 3_000;
const closeTimeoutMs = 5_000;

/** A running instance. */
export interface Daemon {
  readonly callerAddress: string;
  readonly peerAddress: string;
  readonly getHealth: () => Health;
  /** Ends new work, waits for work in flight and frees what is held. */
  readonly stop: () => Promise<void>;
}

/** Where a started instance is on its way to its end. */
enum Phase {
  Serving = "serving",
  /** Not ready, but still taking what the balancer sends. */
  Leaving = "leaving",
  /** Refuses new work. */
  Draining = "draining",
}

interface Life {
  phase: Phase;
}

/** Starts an instance; resolves once it listens. */
export async function startDaemon(
  settings: Settings,
  environment: Environment,
): Promise<Daemon> {
  const life: Life = { phase: Phase.Serving };
  // The peers' listener needs the instance, whose name needs no port.
  const started: { instance?: Instance } = {};
  const peerServer = await openPeerServer(settings.peers, {
    environment,
    onRefused: () => logEvent(daemonEvents.peerRefused),
    parts: {
      exchange: (digest) => {
        const current = getStarted(started);
        takeDigest(current, digest);
        return buildDigest(current, { stopping: isStopping(life) });
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
  const getHealth = (): Health => readHealth(getStarted(started), life);
  const gateway = await openGateway(settings.callers, {
    environment,
    apps: createApps(instance, life, { work, getHealth }),
    onFailure: (error) =>
      logEvent(daemonEvents.handlerFailed, { error: String(error) }),
  });
  const tasks = runTasks(instance, {
    isStopping: () => isStopping(life),
    readGauges: () => ({
      inFlight: work.getCount(),
      controlAgeMs: instance.streams.control.getAgeMs(),
      version: getHealth().version,
      usableEngines: instance.table.listViews().filter(({ usable }) =>
        usable
      ).length,
    }),
  });
  const parts = { instance, life, work, gateway, peerServer, tasks };
  logEvent(daemonEvents.started, {
    instance: instance.name,
    callers: gateway.address,
    peers: peerServer.address,
  });
  return {
    callerAddress: gateway.address,
    peerAddress: peerServer.address,
    getHealth,
    stop: () => stopInstance(parts),
  };
}

function createApps(
  instance: Instance,
  life: Life,
  options: { readonly work: WorkCount; readonly getHealth: () => Health },
): Parameters<typeof openGateway>[1]["apps"] {
  const { serving, settings } = instance;
  const pinVersion = (): Either<Refusal, VersionView> =>
    pickVersion(instance, life);
  return [
    options.work.countApp(createCompletionsApp({
      pinVersion,
      stream: (call, version, { signal }) =>
        serveCompletion(call, version, { parts: serving, signal }),
      writeTimeoutMs: settings.callers.write_timeout_ms,
    })),
    options.work.countApp(createServicesApp({
      pinVersion,
      runCall: (call, version, { caller }) =>
        serveCall(call, version, { parts: serving, caller }),
    })),
    createHealthApp(options.getHealth),
  ];
}

function pickVersion(
  instance: Instance,
  life: Life,
): Either<Refusal, VersionView> {
  if (life.phase === Phase.Draining) {
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
      retryAfterMs: noBundleRetryMs,
    }),
  );
}

function readHealth(instance: Instance, life: Life): Health {
  const version = instance.getVersion()?.bundle.version ?? 0;
  const reason = findReason(instance, life);
  return {
    ready: reason === undefined,
    reason,
    instance: instance.name,
    failureDomain: instance.settings.failure_domain,
    version,
  };
}

function findReason(instance: Instance, life: Life): string | undefined {
  if (isStopping(life)) return "instance is stopping";
  if (!instance.streams.control.isStarted()) {
    return "control state is not known";
  }
  if (!instance.getVersion()) return "no bundle is in force";
  const usable = instance.table.listViews().some((view) => view.usable);
  return usable || instance.getVersion()?.engines.size === 0
    ? undefined
    : "no engine is usable";
}

interface StopParts {
  readonly instance: Instance;
  readonly life: Life;
  readonly work: WorkCount;
  readonly gateway: Gateway;
  readonly peerServer: PeerServer;
  /** Resolves once the background tasks have ended. */
  readonly tasks: Promise<void>;
}

async function stopInstance(parts: StopParts): Promise<void> {
  const { instance, life, work } = parts;
  const { notice_ms: noticeMs, deadline_ms: deadlineMs } =
    instance.settings.stop;
  logEvent(daemonEvents.stopRequested, { inFlight: work.getCount() });
  life.phase = Phase.Leaving;
  await waitFor(noticeMs);
  life.phase = Phase.Draining;
  const left = await work.waitUntilIdle(deadlineMs);
  if (left > 0) logEvent(daemonEvents.stopCut, { calls: left });
  const closing = parts.gateway.close();
  await waitAtMost(instance.book.drain(), recordTimeoutMs);
  instance.ending.abort();
  const records = Promise.all([parts.tasks, recordStop(instance)]);
  await waitAtMost(records, recordTimeoutMs);
  // A connection to something that no longer answers must not hold the stop up.
  await waitAtMost(instance.close(), closeTimeoutMs);
  await waitAtMost(parts.peerServer.close(), closeTimeoutMs);
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
  ending: Promise<unknown>,
  timeoutMs: number,
): Promise<void> {
  await Promise.race([ending, waitFor(timeoutMs)]);
}

function isStopping(life: Life): boolean {
  return life.phase === Phase.Leaving || life.phase === Phase.Draining;
}

function getStarted(started: { readonly instance?: Instance }): Instance {
  if (!started.instance) throw new Error("Instance is starting");
  return started.instance;
}
