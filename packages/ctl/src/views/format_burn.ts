/** The service-level report as text. */
import {
  type BurnGap,
  BurnGapKind,
  type BurnLoss,
  type BurnReport,
} from "@trefoildoor/core";
import { formatDuration } from "../durations.ts";
import { formatShare, formatTime, renderTable } from "../output.ts";

/** Formats a report with its tables and gaps. */
export function formatBurn(report: BurnReport): string {
  const { fromMs, toMs, instances } = report;
  return [
    `${formatTime(fromMs)} to ${formatTime(toMs)} UTC, ${instances} instances`,
    formatRows(report),
    formatShares(report.causes, "cause"),
    formatShares(report.callers, "caller"),
    formatGaps(report.gaps),
  ].join("\n\n");
}

function formatRows({ rows }: BurnReport): string {
  const windows =
    rows[0]?.rates.map(({ windowMs }) => formatDuration(windowMs)) ?? [];
  return renderTable({
    columns: [
      "group",
      "model",
      "indicator",
      "target",
      "good",
      "of",
      "budget left",
      ...windows.map((window) => `burn ${window}`),
      "alert",
    ],
    rows: rows.map((row) => [
      row.group,
      row.model ?? "all",
      row.indicator,
      formatShare(row.target),
      row.good,
      row.total,
      formatShare(row.budgetLeft),
      ...row.rates.map(({ rate, total }) =>
        total === 0 ? undefined : rate.toFixed(2)
      ),
      row.alert,
    ]),
    empty: "the bundle in force has no objectives",
  });
}

function formatShares(shares: readonly BurnLoss[], what: string): string {
  return renderTable({
    columns: [what, "group", "model", "answers lost"],
    rows: shares.map((share) => [
      share.name,
      share.group,
      share.model,
      share.lost,
    ]),
    empty: `no answers were lost, by ${what}`,
  });
}

function formatGaps(gaps: readonly BurnGap[]): string {
  if (gaps.length === 0) return "no gaps";
  const lines = gaps.map((gap) => {
    const to = gap.toMs === undefined ? "" : ` to ${formatTime(gap.toMs)}`;
    const who = gap.instance ?? "all instances";
    return `gap: ${who}, ${gapTexts[gap.kind]}: ${formatTime(gap.fromMs)}${to}`;
  });
  return lines.join("\n");
}

const gapTexts: Readonly<Record<BurnGapKind, string>> = {
  [BurnGapKind.NoRecords]: "no summaries",
  [BurnGapKind.Hole]: "a summary is missing",
  [BurnGapKind.LostEnd]: "ended without a last summary",
};
