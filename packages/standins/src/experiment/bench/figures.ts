/** What one run of the bench yields. */
import { build, type Histogram } from "hdr-histogram-js";
import type { RefusalReason } from "@trefoildoor/core";

/** Percentiles of a time, in ms. */
export interface Percentiles {
  readonly p50: number;
  readonly p95: number;
  readonly p99: number;
}

/** Figures of one run. */
export interface RunFigures {
  readonly offered: number;
  readonly completed: number;
  /** Answers complete within their caller's deadline. */
  readonly useful: number;
  readonly late: number;
  readonly failed: number;
  readonly refused: number;
  readonly refusedBy: Readonly<Partial<Record<RefusalReason, number>>>;
  /** Useful answers per second. */
  readonly goodput: number;
  readonly roleChanges: number;
  readonly firstTokenMs: Percentiles;
  readonly betweenTokensMs: Percentiles;
  /** Share of first tokens within 1.4 s, and of tokens within 55 ms. */
  readonly firstTokenInTime: number;
  readonly betweenTokensInTime: number;
  /** Share of computed tokens that served no useful answer. */
  readonly wasted: number;
  readonly callsPerAccepted: number;
  /** Useful answers per caller. */
  readonly usefulByCaller: Readonly<Record<string, number>>;
  /** Useful answers of each interval of `seriesMs`. */
  readonly series: readonly number[];
}

/** Collects the figures of one run. */
export interface FigureCollector {
  readonly noteOffered: () => void;
  readonly noteRefused: (reason: RefusalReason) => void;
  readonly noteCall: () => void;
  readonly noteFirstToken: (ms: number) => void;
  readonly noteBetweenTokens: (ms: number) => void;
  readonly noteCompleted: (answer: CompletedAnswer) => void;
  readonly noteFailed: () => void;
  readonly noteRoleChange: () => void;
  readonly build: (run: RunTotals) => RunFigures;
}

/** An answer that is complete. */
export interface CompletedAnswer {
  readonly caller: string;
  readonly useful: boolean;
  readonly tokens: number;
  readonly atMs: number;
}

/** Totals known only at the end of a run. */
export interface RunTotals {
  readonly durationMs: number;
  /** Prompt and output tokens that the engines computed. */
  readonly computedTokens: number;
}

/** Interval of the goodput series, in ms. */
export const seriesMs = 10_000;

const firstTokenTargetMs = 1_400;
const betweenTokensTargetMs = 55;
const msPerSecond = 1_000;
const highestMs = 600_000;

/** Creates an empty collector. */
export function createFigureCollector(): FigureCollector {
  const first = createTimes(firstTokenTargetMs);
  const between = createTimes(betweenTokensTargetMs);
  const refusedBy: Partial<Record<RefusalReason, number>> = {};
  const usefulByCaller: Record<string, number> = {};
  const series: number[] = [];
  const count = {
    offered: 0,
    refused: 0,
    calls: 0,
    useful: 0,
    late: 0,
    failed: 0,
    roleChanges: 0,
    usefulTokens: 0,
  };
  return {
    noteOffered: () => void (count.offered += 1),
    noteRefused(reason): void {
      count.refused += 1;
      refusedBy[reason] = (refusedBy[reason] ?? 0) + 1;
    },
    noteCall: () => void (count.calls += 1),
    noteFirstToken: first.add,
    noteBetweenTokens: between.add,
    noteCompleted(answer): void {
      if (!answer.useful) {
        count.late += 1;
        return;
      }
      count.useful += 1;
      count.usefulTokens += answer.tokens;
      usefulByCaller[answer.caller] = (usefulByCaller[answer.caller] ?? 0) + 1;
      const index = Math.floor(answer.atMs / seriesMs);
      while (series.length <= index) series.push(0);
      series[index] = (series[index] ?? 0) + 1;
    },
    noteFailed: () => void (count.failed += 1),
    noteRoleChange: () => void (count.roleChanges += 1),
    build: (run) => ({
      offered: count.offered,
      completed: count.useful + count.late,
      useful: count.useful,
      late: count.late,
      failed: count.failed,
      refused: count.refused,
      refusedBy,
      goodput: count.useful * msPerSecond / run.durationMs,
      roleChanges: count.roleChanges,
      firstTokenMs: first.getPercentiles(),
      betweenTokensMs: between.getPercentiles(),
      firstTokenInTime: first.getShareInTime(),
      betweenTokensInTime: between.getShareInTime(),
      wasted: Math.max(
        1 - count.usefulTokens / Math.max(run.computedTokens, 1),
        0,
      ),
      callsPerAccepted: count.calls /
        Math.max(count.offered - count.refused, 1),
      usefulByCaller,
      series,
    }),
  };
}

function createTimes(targetMs: number): {
  readonly add: (ms: number) => void;
  readonly getPercentiles: () => Percentiles;
  readonly getShareInTime: () => number;
} {
  const histogram: Histogram = build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: highestMs,
    numberOfSignificantValueDigits: 3,
  });
  let inTime = 0;
  return {
    add(ms): void {
      histogram.recordValue(Math.min(Math.max(Math.round(ms), 1), highestMs));
      if (ms <= targetMs) inTime += 1;
    },
    getPercentiles: () => ({
      p50: histogram.getValueAtPercentile(50),
      p95: histogram.getValueAtPercentile(95),
      p99: histogram.getValueAtPercentile(99),
    }),
    getShareInTime: () => inTime / Math.max(histogram.totalCount, 1),
  };
}
