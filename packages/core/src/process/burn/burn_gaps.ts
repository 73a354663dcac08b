/** Gaps in a service-level report: intervals whose counters are not in the log. */
import type { BurnSummary } from "./burn_counters.ts";

/** Longest pause between two summaries that does not count as a hole, in ms. */
const maxSummaryPauseMs = 1_000;
/** Time without a summary after which it counts as missing, in ms. */
const missingAfterMs = 120_000;

/** Which kind of counters is missing from the log. */
export enum BurnGapKind {
  /** No instance reported. */
  NoRecords = "no_records",
  /** An interval between two summaries of one instance is not covered. */
  Hole = "hole",
  /** An instance ended without a final summary; up to one interval is lost. */
  LostEnd = "lost_end",
}

/** Interval of a report without counters of one instance or of all. */
export interface BurnGap {
  readonly kind: BurnGapKind;
  /** Absent where no instance reported. */
  readonly instance?: string;
  readonly fromMs: number;
  /** End of the gap; absent after a lost end, where it is unknown. */
  readonly toMs?: number;
}

/** Interval of time, in ms since the epoch. */
export interface TimeInterval {
  readonly fromMs: number;
  readonly toMs: number;
}

/** Keeps, of summaries with the same instance and start, the one with the latest end; sorted by start. */
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

/** Finds the gaps in a window; `summaries` must come from `pickNewestSummaries`. */
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
  const instanceGaps = [...instances.values()].flatMap((list) =>
    findInstanceGaps(list, window)
  );
  return [...findUnreportedTime(summaries, window), ...instanceGaps];
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
  if (!end || end.last || window.toMs - end.toMs < missingAfterMs) return holes;
  const { instance, toMs } = end;
  return [...holes, { kind: BurnGapKind.LostEnd, instance, fromMs: toMs }];
}

/** Finds intervals of the window in which no instance reported. */
function findUnreportedTime(
  summaries: readonly BurnSummary[],
  window: TimeInterval,
): readonly BurnGap[] {
  const edges = [
    { fromMs: window.fromMs, toMs: window.fromMs },
    ...summaries,
    { fromMs: window.toMs, toMs: window.toMs },
  ];
  return findHoles(edges)
    .filter(({ fromMs, toMs }) => toMs - fromMs >= missingAfterMs)
    .map((hole) => ({ kind: BurnGapKind.NoRecords, ...hole }));
}

/** Finds uncovered time between intervals sorted by start, which may overlap. */
function findHoles(
  intervals: readonly TimeInterval[],
): readonly TimeInterval[] {
  const holes: TimeInterval[] = [];
  let endMs = intervals[0]?.toMs ?? 0;
  for (const { fromMs, toMs } of intervals.slice(1)) {
    if (fromMs - endMs > maxSummaryPauseMs) {
      holes.push({ fromMs: endMs, toMs: fromMs });
    }
    endMs = Math.max(endMs, toMs);
  }
  return holes;
}
