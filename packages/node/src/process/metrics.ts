/** Metrics of an instance, sent to a StatsD receiver. */
import { monitorEventLoopDelay } from "node:perf_hooks";
import process from "node:process";
import { waitFor } from "@trefoildoor/core";
import { StatsD } from "hot-shots";
import type { Settings } from "../settings/index.ts";

const gaugeIntervalMs = 1_000;
const nanosecondsPerMs = 1_000_000;
/** Longest delay that `setTimeout` accepts; a larger one fires at once. */
const maxTimerDelayMs = 2 ** 31 - 1;

/** One finished request as metrics count it. */
export interface RequestMetric {
  /** Model or plain service. */
  readonly target: string;
  /** Outcome, or the reason of the refusal. */
  readonly end: string;
  readonly durationMs: number;
  readonly firstTokenMs?: number;
  readonly outputTokens?: number;
}

/** Current values, read at each gauge interval. */
export interface InstanceGauges {
  readonly inFlight: number;
  /** Time since the control stream was last known to be read to its end, in ms. */
  readonly controlAgeMs: number;
  readonly version: number;
  readonly usableEngines: number;
}

/** Metrics of one instance. */
export interface Metrics {
  readonly recordRequest: (metric: RequestMetric) => void;
  /** Sends gauges until the signal aborts. */
  readonly reportGauges: (
    readGauges: () => InstanceGauges,
    signal: AbortSignal,
  ) => Promise<void>;
  readonly close: () => void;
}

/** Opens the metrics; without settings nothing is sent. */
export function openMetrics(settings: Settings["metrics"]): Metrics {
  if (!settings) {
    return {
      recordRequest: () => {},
      reportGauges: (_readGauges, signal) => waitFor(maxTimerDelayMs, signal),
      close: () => {},
    };
  }
  const client = new StatsD({
    ...settings,
    // An unreachable receiver must not affect the instance.
    errorHandler: () => {},
  });
  return {
    recordRequest: (metric) => sendRequest(client, metric),
    reportGauges: (readGauges, signal) =>
      sendGauges(client, readGauges, { signal }),
    close: () => client.close(() => {}),
  };
}

function sendRequest(client: StatsD, metric: RequestMetric): void {
  const tags = { target: metric.target, end: metric.end };
  client.increment("requests", 1, tags);
  client.timing("request_ms", metric.durationMs, tags);
  if (metric.firstTokenMs !== undefined) {
    client.timing("first_token_ms", metric.firstTokenMs, tags);
  }
  if (metric.outputTokens !== undefined) {
    client.increment("output_tokens", metric.outputTokens, tags);
  }
}

async function sendGauges(
  client: StatsD,
  readGauges: () => InstanceGauges,
  { signal }: { readonly signal: AbortSignal },
): Promise<void> {
  const delay = monitorEventLoopDelay();
  delay.enable();
  while (!signal.aborted) {
    const gauges = readGauges();
    client.gauge("in_flight", gauges.inFlight);
    client.gauge(
      "control_age_ms",
      Math.min(gauges.controlAgeMs, Number.MAX_SAFE_INTEGER),
    );
    client.gauge("bundle_version", gauges.version);
    client.gauge("usable_engines", gauges.usableEngines);
    client.gauge(
      "event_loop_delay_p99_ms",
      delay.percentile(99) / nanosecondsPerMs,
    );
    client.gauge("resident_bytes", process.memoryUsage.rss());
    delay.reset();
    await waitFor(gaugeIntervalMs, signal);
  }
  delay.disable();
}
