/** Gaps of a service-level report: time whose counters never reached the log. */
import type { BurnSummary } from "./burn_counters.ts";

/** Pause between two summaries of one instance that is still no gap, in ms. */
const toleratedPauseMs = 1_000;
/** Silence after which an instance is taken as lost, in ms. */
const silenceMs = 120_000;

/** What is missing. */
export enum BurnGapKind {
  /** Neither this nor any other instance reported. */
  NoRecords = "no_records",
  /** An instance has a hole between two of its summaries. */
  Hole = "hole",
  /** An instance ended without a last summary; up to one interval is lost. */
  LostEnd = "lost_end",
}

/** One gap of a report. */
export interface BurnGap {
  readonly kind: BurnGapKind;
  /** Absent where no instance reported. */
  readonly instance?: string;
  readonly fromMs: number;
  /** End of the gap; absent where it is not known. */
  readonly toMs?: number;
}

/** Interval of time, in ms since the epoch. */
export interface TimeInterval {
  readonly fromMs: number;
  readonly toMs: number;
}

/** Keeps the newest summary of each interval: the same start with the latest end. */
export function pickNewestSummaries(
  records: readonly BurnSummary[],
): readonly BurnSummary[] {
  const newest = new Map<string, BurnSummary>();
  for (const record of records) {
    const key = `${record.instance} ${record.fromMs}`;
    const known = newest.get(key);
    if (!known || known.toMs < record.toMs) newest.set(key, record);
  }
  return [...newest.values()].sort((left, right) => left.fromMs - right.fromMs);
}

/** Finds the gaps of a window; `summaries` as `pickNewestSummaries` returns them. */
export function findBurnGaps(
  summaries: readonly BurnSummary[],
  window: TimeInterval,
): readonly BurnGap[] {
  const instances = new Map<string, BurnSummary[]>();
  for (const summary of summaries) {
    const list = instances.get(summary.instance) ?? [];
    list.push(summary);
    instances.set(summary.instance, list);
  }
  const own = [...instances.values()].flatMap((list) =>
    findInstanceGaps(list, window)
  );
  return [...findSilence(summaries, window), ...own];
}

function findInstanceGaps(
  summaries: readonly BurnSummary[],
  window: TimeInterval,
): readonly BurnGap[] {
  const holes = findHoles(summaries).map((hole) => ({
    kind: BurnGapKind.Hole,
    instance: summaries[0]?.instance,
    ...hole,
  }));
  const end = summaries.at(-1);
  if (!end || end.last || window.toMs - end.toMs < silenceMs) return holes;
  const { instance, toMs } = end;
  return [...holes, { kind: BurnGapKind.LostEnd, instance, fromMs: toMs }];
}

/** Time in the window in which no instance reported at all. */
function findSilence(
  summaries: readonly BurnSummary[],
  window: TimeInterval,
): readonly BurnGap[] {
  const edges = [
    { fromMs: window.fromMs, toMs: window.fromMs },
    ...summaries,
    { fromMs: window.toMs, toMs: window.toMs },
  ];
  return findHoles(edges)
    .filter(({ fromMs, toMs }) => toMs - fromMs >= silenceMs)
    .map((hole) => ({ kind: BurnGapKind.NoRecords, ...hole }));
}

/** Holes between intervals that are sorted by their start and may overlap. */
function findHoles(
  intervals: readonly TimeInterval[],
): readonly TimeInterval[] {
  const holes: TimeInterval[] = [];
  let endMs = intervals[0]?.toMs ?? 0;
  for (const { fromMs, toMs } of intervals.slice(1)) {
    if (fromMs - endMs > toleratedPauseMs) {
      holes.push({ fromMs: endMs, toMs: fromMs });
    }
    endMs = Math.max(endMs, toMs);
  }
  return holes;
}
