/**
 * Monitors one endpoint: probes it periodically, distinguishes an unresponsive
 * connection from an unresponsive endpoint, and detects restarts.
 */
import { setMaxListeners } from "node:events";
import { type LogEvent, logEvent, waitFor } from "../../shared/index.ts";
import { RemoteError, RemoteFailure } from "../../types/effects.ts";
import type { LoadReport } from "../../types/endpoints.ts";
import type { EndpointName } from "../../types/names.ts";
import { endpointEvents } from "./events.ts";
import type { EndpointProbe, ProbeResult } from "./probes.ts";

/** Listeners for the results of monitoring an endpoint. */
export interface EndpointObserver {
  readonly onReport?: (endpoint: EndpointName, report: LoadReport) => void;
  /** The endpoint's answer to a probe said whether it is leaving. */
  readonly onLeaving?: (endpoint: EndpointName, leaving: boolean) => void;
  /** The endpoint became unresponsive (true) or responds again (false). */
  readonly onUnresponsive?: (endpoint: EndpointName, silent: boolean) => void;
  /** The endpoint has restarted; called with the previous start id, before the new report. */
  readonly onCrash?: (endpoint: EndpointName, startId: string) => void;
}

/** Dependencies and settings of `monitorEndpoint`. */
export interface MonitorEndpointOptions {
  readonly probe: EndpointProbe;
  readonly observer: EndpointObserver;
  readonly signal: AbortSignal;
  /** Pause between two probes, in ms. */
  readonly intervalMs?: number;
  /** Minimum time between two pings of all idle connections, in ms. */
  readonly idlePingIntervalMs?: number;
  readonly logEvent?: LogEvent;
}

const defaultIntervalMs = 500;
const defaultIdlePingIntervalMs = 2_000;

/** Probes one endpoint and calls the listeners until the signal aborts. */
export async function monitorEndpoint(
  endpoint: EndpointName,
  options: MonitorEndpointOptions,
): Promise<void> {
  const { probe, observer, signal } = options;
  const log = options.logEvent ?? logEvent;
  const idlePingIntervalMs = options.idlePingIntervalMs ??
    defaultIdlePingIntervalMs;
  // Each probe and ping adds a listener; 0 turns off the warning about many listeners.
  setMaxListeners(0, signal);
  let unresponsive = false;
  let startId: string | undefined;
  let lastIdlePingMs = performance.now();

  const setUnresponsive = (value: boolean): void => {
    if (unresponsive === value) return;
    unresponsive = value;
    const event = value
      ? endpointEvents.endpointUnresponsive
      : endpointEvents.endpointResponsive;
    log(event, { endpoint });
    observer.onUnresponsive?.(endpoint, value);
  };
  const handleStart = (newId: string): void => {
    if (startId !== undefined && startId !== newId) {
      log(endpointEvents.endpointRestarted, { endpoint });
      observer.onCrash?.(endpoint, startId);
    }
    startId = newId;
  };
  const replaceConnections = (): void => {
    probe.replaceConnections();
    log(endpointEvents.connectionsReplaced, { endpoint });
  };
  while (!signal.aborted) {
    const { result, pooledTimedOut } = await checkEndpoint(probe, signal);
    if (signal.aborted) return;
    if (result && pooledTimedOut) replaceConnections();
    const newId = result?.report?.startId ?? result?.startId;
    if (newId !== undefined) handleStart(newId);
    if (result?.report) observer.onReport?.(endpoint, result.report);
    if (result?.leaving !== undefined) {
      observer.onLeaving?.(endpoint, result.leaving);
    }
    setUnresponsive(result === undefined);
    if (result && performance.now() - lastIdlePingMs >= idlePingIntervalMs) {
      lastIdlePingMs = performance.now();
      const allAnswered = await probe.pingIdle(signal);
      if (signal.aborted) return;
      if (!allAnswered) replaceConnections();
    }
    await waitFor(options.intervalMs ?? defaultIntervalMs, signal);
  }
}

/** Outcome of a probe on a pooled connection and, if that failed, on a new one. */
interface ProbeOutcome {
  /** Undefined when the new connection gave no answer either. */
  readonly result?: ProbeResult;
  /** Whether the probe on a pooled connection timed out. */
  readonly pooledTimedOut: boolean;
}

async function checkEndpoint(
  probe: EndpointProbe,
  signal: AbortSignal,
): Promise<ProbeOutcome> {
  try {
    const result = await probe.ask({ fresh: false, signal });
    return { result, pooledTimedOut: false };
  } catch (error) {
    if (signal.aborted) return { pooledTimedOut: false };
    const pooledTimedOut = error instanceof RemoteError &&
      error.failure === RemoteFailure.Timeout;
    const result = await probe.ask({ fresh: true, signal }).catch(() =>
      undefined
    );
    return { result, pooledTimedOut };
  }
}
