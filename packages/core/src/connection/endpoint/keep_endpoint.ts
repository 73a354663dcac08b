/**
 * One task for each endpoint: asks it for signs of life, tells a silent
 * connection from a silent endpoint, and notices a new start.
 */
import { setMaxListeners } from "node:events";
import { type LogEvent, logEvent, waitFor } from "../../shared/index.ts";
import { RemoteError, RemoteFailure } from "../../types/effects.ts";
import type { LoadReport } from "../../types/endpoints.ts";
import type { EndpointName } from "../../types/names.ts";
import { endpointEvents } from "./events.ts";
import type { EndpointProbe, ProbeResult } from "./probes.ts";

/** Listeners of what a task learns of its endpoint. */
export interface EndpointObserver {
  readonly onReport?: (endpoint: EndpointName, report: LoadReport) => void;
  /** The endpoint itself said whether it is leaving. */
  readonly onLeaving?: (endpoint: EndpointName, leaving: boolean) => void;
  /** The endpoint fell silent, or was heard again. */
  readonly onSilent?: (endpoint: EndpointName, silent: boolean) => void;
  /** The start that the id names has ended; called before the new report. */
  readonly onCrash?: (endpoint: EndpointName, startId: string) => void;
}

/** What a task uses. */
export interface KeepEndpointOptions {
  readonly probe: EndpointProbe;
  readonly observer: EndpointObserver;
  readonly signal: AbortSignal;
  /** Time between two questions, in ms. */
  readonly intervalMs?: number;
  /** Time between two pings of all idle connections, in ms. */
  readonly idlePingMs?: number;
  readonly logEvent?: LogEvent;
}

const defaultIntervalMs = 500;
const defaultIdlePingMs = 2_000;

/** Keeps one endpoint under observation until the signal aborts. */
export async function keepEndpoint(
  endpoint: EndpointName,
  options: KeepEndpointOptions,
): Promise<void> {
  const { probe, observer, signal } = options;
  const log = options.logEvent ?? logEvent;
  const idlePingMs = options.idlePingMs ?? defaultIdlePingMs;
  // Every probe and every ping of an idle connection listens to it.
  setMaxListeners(0, signal);
  let silent = false;
  let startId: string | undefined;
  let pingedMs = performance.now();

  const noteSilence = (value: boolean): void => {
    if (silent === value) return;
    silent = value;
    const event = value
      ? endpointEvents.endpointSilent
      : endpointEvents.endpointHeard;
    log(event, { endpoint });
    observer.onSilent?.(endpoint, value);
  };
  const noteReport = (report: LoadReport): void => {
    if (startId !== undefined && startId !== report.startId) {
      log(endpointEvents.endpointRestarted, { endpoint });
      observer.onCrash?.(endpoint, startId);
    }
    startId = report.startId;
    observer.onReport?.(endpoint, report);
  };
  const replaceConnections = (): void => {
    probe.replaceConnections();
    log(endpointEvents.connectionsReplaced, { endpoint });
  };
  while (!signal.aborted) {
    const { result, pooledSilent } = await callTwice(probe, signal);
    if (signal.aborted) return;
    if (result && pooledSilent) replaceConnections();
    if (result?.report) noteReport(result.report);
    if (result?.leaving !== undefined) {
      observer.onLeaving?.(endpoint, result.leaving);
    }
    noteSilence(result === undefined);
    if (result && performance.now() - pingedMs >= idlePingMs) {
      pingedMs = performance.now();
      const alive = await probe.pingIdle(signal);
      if (signal.aborted) return;
      if (!alive) replaceConnections();
    }
    await waitFor(options.intervalMs ?? defaultIntervalMs, signal);
  }
}

/** Answer of an endpoint; undefined where it gave none on a new connection either. */
interface Asked {
  readonly result?: ProbeResult;
  /** A pooled connection gave no answer in time. */
  readonly pooledSilent: boolean;
}

async function callTwice(
  probe: EndpointProbe,
  signal: AbortSignal,
): Promise<Asked> {
  try {
    const result = await probe.ask({ fresh: false, signal });
    return { result, pooledSilent: false };
  } catch (error) {
    if (signal.aborted) return { pooledSilent: false };
    const pooledSilent = error instanceof RemoteError &&
      error.failure === RemoteFailure.Timeout;
    const result = await probe.ask({ fresh: true, signal }).catch(() =>
      undefined
    );
    return { result, pooledSilent };
  }
}
