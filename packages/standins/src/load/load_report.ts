/** Totals and latency percentiles of a run. */
import { build, type Histogram } from "hdr-histogram-js";
import { CallEnd, type CallResult } from "./caller.ts";

/** Percentiles of a duration, in ms. */
export interface Percentiles {
  readonly p50: number;
  readonly p95: number;
  readonly p99: number;
  readonly max: number;
}

/** Report of one run. */
export interface LoadReportSummary {
  readonly requests: number;
  readonly ends: Readonly<Record<CallEnd, number>>;
  /** Answers that were not done, by end and detail. */
  readonly details: Readonly<Record<string, number>>;
  readonly durationMs: number;
  /** Whole answers per second. */
  readonly goodput: number;
  readonly tokensPerSecond: number;
  readonly firstToken: Percentiles;
  readonly betweenTokens: Percentiles;
  readonly booking: Percentiles;
  /** How each booking ended, by its key. */
  readonly bookings: ReadonlyMap<string, CallEnd>;
}

/** Collects results while a run goes on. */
export interface LoadCollector {
  readonly addCompletion: (result: CallResult) => void;
  readonly addBooking: (key: string, result: CallResult) => void;
  readonly summarize: () => LoadReportSummary;
}

const microsecondsPerMs = 1_000;
const highestMicroseconds = 3_600_000 * microsecondsPerMs;

/** Creates an empty collector that measures the run from now on. */
export function createLoadCollector(): LoadCollector {
  const startMs = performance.now();
  const firstToken = createHistogram();
  const betweenTokens = createHistogram();
  const booking = createHistogram();
  const details: Record<string, number> = {};
  const ends = Object.fromEntries(
    Object.values(CallEnd).map((end) => [end, 0]),
  ) as Record<CallEnd, number>;
  const bookings = new Map<string, CallEnd>();
  let requests = 0;
  let tokens = 0;

  const add = ({ end, detail }: CallResult): void => {
    requests++;
    ends[end]++;
    if (end === CallEnd.Done) return;
    const key = `${end}: ${detail}`;
    details[key] = (details[key] ?? 0) + 1;
  };
  return {
    addCompletion: (result) => {
      add(result);
      if (result.firstTokenMs === undefined) return;
      tokens += 1 + result.gapsMs.length;
      recordMs(firstToken, result.firstTokenMs);
      for (const gapMs of result.gapsMs) recordMs(betweenTokens, gapMs);
    },
    addBooking: (key, result) => {
      add(result);
      bookings.set(key, result.end);
      if (result.end === CallEnd.Done) recordMs(booking, result.totalMs);
    },
    summarize: () => {
      const durationMs = performance.now() - startMs;
      return {
        requests,
        ends,
        details,
        durationMs,
        goodput: ends[CallEnd.Done] / durationMs * 1_000,
        tokensPerSecond: tokens / durationMs * 1_000,
        firstToken: readPercentiles(firstToken),
        betweenTokens: readPercentiles(betweenTokens),
        booking: readPercentiles(booking),
        bookings,
      };
    },
  };
}

function createHistogram(): Histogram {
  return build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: highestMicroseconds,
    numberOfSignificantValueDigits: 3,
  });
}

function recordMs(histogram: Histogram, ms: number): void {
  histogram.recordValue(Math.max(0, Math.round(ms * microsecondsPerMs)));
}

function readPercentiles(histogram: Histogram): Percentiles {
  const read = (percentile: number): number =>
    histogram.getValueAtPercentile(percentile) / microsecondsPerMs;
  return {
    p50: read(50),
    p95: read(95),
    p99: read(99),
    max: histogram.maxValue / microsecondsPerMs,
  };
}
