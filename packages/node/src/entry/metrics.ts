/** Counters and latency histograms of an entry, served as text. */
import { createServer } from "node:http";
import type { ForwardEnd, RepeatVerdict, TopicBasis } from "@trefoildoor/core";
import { Counter, Gauge, Histogram, Registry } from "prom-client";
import { listen } from "./front_server.ts";
import type { DigestTraffic } from "./peer_link.ts";
import { createRefusalCounts } from "./refusal_counts.ts";

/** Records the metrics of one process. */
export interface EntryMetrics {
  readonly recordCall: (
    call: {
      readonly route: string;
      readonly end: ForwardEnd;
      readonly tookMs: number;
    },
  ) => void;
  /** Records the age of the list of endpoints at the send of a call, in ms, and the basis on which it was used. */
  readonly recordSend: (listAgeMs: number, basis: TopicBasis) => void;
  /** Records a call that was repeated early or kept waiting past its objective, with what was decided. */
  readonly recordOverdue: (verdict: RepeatVerdict) => void;
  readonly recordStoreCall: (call: string) => void;
  readonly recordDigestBytes: (traffic: DigestTraffic, bytes: number) => void;
  readonly recordDigestDelay: (delayMs: number) => void;
  readonly recordLoopDelay: (delayMs: number) => void;
  readonly recordEvent: (event: number) => void;
  readonly close: () => void;
}

/** Gauge values, read at each scrape. */
export interface EntryGauges {
  readonly openCalls: number;
  readonly openedConnections: number;
  readonly configurationVersion: number;
  readonly listAgeMs: number;
  readonly heardInstances: number;
  /** Prompt parts and requests that are refused because endpoints crash under them. */
  readonly refusedTraits: number;
  /** 1 while the instance is cut off from endpoints that its peers reach. */
  readonly cutOff: number;
  /** Streams that callers may take up and whose software version is known. */
  readonly knownStreams: number;
  /** Endpoints that limit the requests of all instances together. */
  readonly limitedEndpoints: number;
  /** Endpoints at which work is held to take at least twice as long as at the median of their service. */
  readonly slowEndpoints: number;
  readonly droppedLogLines: number;
}

const msPerSecond = 1_000;
/** Bucket bounds of the histograms, in s: from fractions of the callers' latency goals to their longest timeouts. */
const buckets = [0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.4, 0.5, 0.6, 1, 2, 4, 8];
const metricsPath = "/metrics";
const ok = 200;
const notFound = 404;

/** Creates the metrics and, if an address is given, serves them there at `/metrics`. */
export async function openMetrics(
  address: string | undefined,
  options: { readonly readGauges: () => EntryGauges },
): Promise<EntryMetrics> {
  const registry = new Registry();
  const registers = [registry];
  // First, as collectors may keep only the beginning of a long page.
  addGauges(registers, options.readGauges);
  const sends = new Counter({
    name: "trefoildoor_sends_total",
    help: "Sends to endpoints by the basis on which the list was used",
    labelNames: ["basis"],
    registers,
  });
  const listAgeAtSendSeconds = new Histogram({
    name: "trefoildoor_list_age_at_send_seconds",
    help: "Age of the list of endpoints when a call is sent to one of them",
    buckets,
    registers,
  });
  const overdue = new Counter({
    name: "trefoildoor_overdue_calls_total",
    help:
      "Calls repeated early or kept waiting past their objective, by what was decided",
    labelNames: ["verdict"],
    registers,
  });
  const calls = new Counter({
    name: "trefoildoor_calls_total",
    help: "Calls by route, outcome and reason",
    labelNames: ["route", "outcome", "reason"],
    registers,
  });
  const refusals = createRefusalCounts(registers);
  const callSeconds = new Histogram({
    name: "trefoildoor_call_seconds",
    help: "Time from the receipt of a call to its end",
    labelNames: ["route"],
    buckets,
    registers,
  });
  const firstByteSeconds = new Histogram({
    name: "trefoildoor_first_byte_seconds",
    help: "Time from the receipt of a call to the first byte of its answer",
    labelNames: ["route"],
    buckets,
    registers,
  });
  const storeCalls = new Counter({
    name: "trefoildoor_store_calls_total",
    help: "Calls to the platform's store",
    labelNames: ["call"],
    registers,
  });
  const events = new Counter({
    name: "trefoildoor_events_total",
    help: "Log events by number, also of lines that were dropped",
    labelNames: ["event"],
    registers,
  });
  const digestBytes = new Counter({
    name: "trefoildoor_digest_bytes_total",
    help: "Bytes of digests of instances: own and relayed ones sent, received",
    labelNames: ["traffic"],
    registers,
  });
  const digestDelaySeconds = new Histogram({
    name: "trefoildoor_digest_delay_seconds",
    help: "Transit delay of received digests beyond the smallest one",
    buckets,
    registers,
  });
  const loopDelaySeconds = new Histogram({
    name: "trefoildoor_event_loop_delay_seconds",
    help: "Delay of a periodic timer, as a sign of a blocked event loop",
    buckets,
    registers,
  });
  const server = address === undefined ? undefined : createServer(
    (request, response) => {
      request.resume();
      if (request.url !== metricsPath) {
        return void response.writeHead(notFound).end();
      }
      registry.metrics().then(
        (text) => {
          response.writeHead(ok, { "content-type": registry.contentType });
          response.end(text);
        },
        () => response.destroy(),
      );
    },
  );
  if (server && address !== undefined) await listen(server, address);
  return {
    recordCall({ route, end, tookMs }): void {
      calls.inc({ route, outcome: end.outcome, reason: end.reason ?? "none" });
      refusals.record(end);
      callSeconds.observe({ route }, tookMs / msPerSecond);
      if (end.firstByteMs !== undefined) {
        firstByteSeconds.observe({ route }, end.firstByteMs / msPerSecond);
      }
    },
    recordSend(listAgeMs, basis): void {
      sends.inc({ basis });
      listAgeAtSendSeconds.observe(listAgeMs / msPerSecond);
    },
    recordOverdue: (verdict) => overdue.inc({ verdict }),
    recordStoreCall: (call) => storeCalls.inc({ call }),
    recordDigestBytes: (traffic, bytes) => digestBytes.inc({ traffic }, bytes),
    recordDigestDelay: (delayMs) =>
      digestDelaySeconds.observe(delayMs / msPerSecond),
    recordLoopDelay: (delayMs) =>
      loopDelaySeconds.observe(delayMs / msPerSecond),
    recordEvent: (event) => events.inc({ event }),
    close(): void {
      server?.close();
      server?.closeAllConnections();
    },
  };
}

function addGauges(
  registers: Registry[],
  readGauges: () => EntryGauges,
): void {
  const gauges: Readonly<Record<keyof EntryGauges, string>> = {
    openCalls: "Calls that are not answered yet",
    openedConnections: "Connections opened since the start",
    configurationVersion: "Version of the configuration in force",
    listAgeMs: "Age of the list of endpoints, in ms",
    heardInstances: "Live instances, this one included",
    refusedTraits:
      "Prompt parts and requests that are refused, as endpoints crash under them",
    cutOff:
      "Whether this instance is cut off from endpoints that its peers reach",
    knownStreams:
      "Streams that callers may take up, whose software version is known",
    limitedEndpoints:
      "Endpoints that limit the requests of all instances together",
    slowEndpoints:
      "Endpoints held to take at least twice the time of their service's median",
    droppedLogLines: "Log lines dropped since the start",
  };
  for (const [key, help] of Object.entries(gauges)) {
    const name = key.replace(/[A-Z]/g, (letter) => `_${letter.toLowerCase()}`);
    new Gauge({
      name: `trefoildoor_${name}`,
      help,
      registers,
      collect: function setValue(): void {
        this.set(readGauges()[key as keyof EntryGauges]);
      },
    });
  }
}
