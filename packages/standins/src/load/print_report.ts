/** Tables of load reports. */
import Table from "cli-table3";
import type { LoadReportSummary, Percentiles } from "./load_report.ts";

/** Renders reports by name side by side. */
export function renderReports(
  reports: Readonly<Record<string, LoadReportSummary>>,
): string {
  const names = Object.keys(reports);
  const table = new Table({
    head: ["measure", ...names],
    style: { head: [], border: [] },
  });
  const addRow = (
    label: string,
    read: (report: LoadReportSummary) => string,
  ): void => {
    table.push([label, ...Object.values(reports).map(read)]);
  };
  addRow("requests", ({ requests }) => String(requests));
  addRow("done", ({ ends }) => String(ends.done));
  addRow("not run", ({ ends }) => String(ends.not_run));
  addRow("unknown", ({ ends }) => String(ends.unknown));
  addRow("cut", ({ ends }) => String(ends.cut));
  addRow("wrong", ({ ends }) => String(ends.wrong));
  addRow("whole answers/s", ({ goodput }) => goodput.toFixed(1));
  addRow("tokens/s", (report) => report.tokensPerSecond.toFixed(0));
  addRow("first token ms", ({ firstToken }) => format(firstToken));
  addRow("between tokens ms", ({ betweenTokens }) => format(betweenTokens));
  addRow("booking ms", ({ booking }) => format(booking));
  const details = Object.entries(reports).flatMap(([name, report]) =>
    Object.entries(report.details).map(([detail, count]) =>
      `${name}: ${count} x ${detail}`
    )
  );
  return [table.toString(), ...details].join("\n");
}

function format({ p50, p95, p99, max }: Percentiles): string {
  const values = [p50, p95, p99, max].map((value) => value.toFixed(1));
  return `p50 ${values[0]}  p95 ${values[1]}  p99 ${values[2]}  max ${
    values[3]
  }`;
}
