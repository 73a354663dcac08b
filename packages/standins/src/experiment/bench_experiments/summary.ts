/** Summaries of several seeds' runs as table rows. */
import { mean, standardDeviation } from "simple-statistics";
import type { RunFigures } from "../bench/figures.ts";
import type { ReportTable } from "../experiment.ts";

/** Runs of one policy in one case, one per seed. */
export interface PolicyRuns {
  readonly policy: string;
  readonly label: string;
  readonly runs: readonly RunFigures[];
}

/** Columns of the policy table. */
export const summaryColumns: readonly string[] = [
  "policy",
  "goodput /s",
  "of reference",
  "role changes",
  "first token p50/p95/p99 ms",
  "in 1.4 s",
  "between p50/p95/p99 ms",
  "in 55 ms",
  "refused",
  "late",
  "failed",
  "wasted",
  "calls/accepted",
];

/** Builds the table of several policies against a reference goodput. */
export function buildSummary(
  title: string,
  entries: readonly PolicyRuns[],
  options: { readonly reference: number },
): ReportTable {
  return {
    title,
    columns: summaryColumns,
    rows: entries.map((entry) => buildRow(entry, options.reference)),
  };
}

/** Mean goodput of some runs. */
export function computeGoodput(runs: readonly RunFigures[]): number {
  return mean(runs.map((run) => run.goodput));
}

/** Formats mean and standard deviation. */
export function formatSpread(
  values: readonly number[],
  digits = 2,
): string {
  const spread = standardDeviation([...values]);
  return `${mean([...values]).toFixed(digits)} ± ${spread.toFixed(digits)}`;
}

function buildRow(entry: PolicyRuns, reference: number): readonly string[] {
  const { runs } = entry;
  const goodput = computeGoodput(runs);
  return [
    entry.label,
    formatSpread(runs.map((run) => run.goodput)),
    (goodput / reference).toFixed(3),
    formatSpread(runs.map((run) => run.roleChanges), 1),
    formatPercentiles(runs, (run) => run.firstTokenMs),
    formatShare(runs, (run) => run.firstTokenInTime),
    formatPercentiles(runs, (run) => run.betweenTokensMs),
    formatShare(runs, (run) => run.betweenTokensInTime),
    formatRefusals(runs),
    formatShare(runs, (run) => run.late / run.offered),
    formatShare(runs, (run) => run.failed / run.offered),
    formatShare(runs, (run) => run.wasted),
    mean(runs.map((run) => run.callsPerAccepted)).toFixed(3),
  ];
}

function formatPercentiles(
  runs: readonly RunFigures[],
  get: (run: RunFigures) => RunFigures["firstTokenMs"],
): string {
  const keys = ["p50", "p95", "p99"] as const;
  return keys.map((key) => mean(runs.map((run) => get(run)[key])).toFixed(0))
    .join("/");
}

function formatShare(
  runs: readonly RunFigures[],
  get: (run: RunFigures) => number,
): string {
  return `${(mean(runs.map(get)) * 100).toFixed(1)}%`;
}

function formatRefusals(runs: readonly RunFigures[]): string {
  const reasons = new Set(runs.flatMap((run) => Object.keys(run.refusedBy)));
  const parts = [...reasons].map((reason) => {
    const share = formatShare(runs, (run) => {
      const counts: Readonly<Record<string, number>> = run.refusedBy;
      return (counts[reason] ?? 0) / run.offered;
    });
    return `${reason} ${share}`;
  });
  return parts.join(", ") || "0";
}
