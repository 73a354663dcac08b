/** Time series of service-level indicators, for plots. */
import type { BundleObjective } from "../../types/index.ts";
import type { BurnSummary } from "./burn_counters.ts";
import { pickNewestSummaries, type TimeInterval } from "./burn_gaps.ts";
import { BurnIndicator } from "./burn_names.ts";
import { createTally } from "./burn_tally.ts";

/** Good and total events of one indicator in one slice of a window. */
export interface BurnPoint extends TimeInterval {
  readonly group: string;
  readonly model?: string;
  readonly indicator: BurnIndicator;
  readonly good: number;
  readonly total: number;
}

/** Options of `computeBurnSeries`. */
export interface BurnSeriesOptions {
  readonly objectives: readonly BundleObjective[];
  readonly window: TimeInterval;
  /** Number of slices of equal length that the window is divided into. */
  readonly slices: number;
}

/** Computes one point per indicator and slice, by time; slices without events have none. */
export function computeBurnSeries(
  records: readonly BurnSummary[],
  options: BurnSeriesOptions,
): readonly BurnPoint[] {
  const { window, slices } = options;
  const sliceMs = (window.toMs - window.fromMs) / slices;
  const groups = new Map<number, BurnSummary[]>();
  for (const summary of pickNewestSummaries(records)) {
    const { toMs } = summary;
    if (toMs <= window.fromMs || toMs > window.toMs) continue;
    const index = Math.ceil((toMs - window.fromMs) / sliceMs) - 1;
    const group = groups.get(index) ?? [];
    group.push(summary);
    groups.set(index, group);
  }
  return [...groups].sort(([left], [right]) => left - right).flatMap(
    ([index, summaries]) => {
      const fromMs = window.fromMs + index * sliceMs;
      return computeSlice(summaries, {
        objectives: options.objectives,
        window: { fromMs, toMs: fromMs + sliceMs },
      });
    },
  );
}

function computeSlice(
  summaries: readonly BurnSummary[],
  { objectives, window }: Omit<BurnSeriesOptions, "slices">,
): readonly BurnPoint[] {
  const tally = createTally(summaries);
  return objectives.flatMap(({ group, model }) => {
    const scope = { group, ...(model !== undefined && { model }) };
    return Object.values(BurnIndicator).flatMap((indicator) => {
      const counts = tally.count(scope, indicator);
      if (counts.total === 0) return [];
      return [{ ...window, ...scope, indicator, ...counts }];
    });
  });
}
