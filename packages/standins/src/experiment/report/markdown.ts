/** Reports as Markdown. */
import type { ExperimentReport, ReportTable } from "../experiment.ts";

/** Renders a report with links to its plots. */
export function renderMarkdown(
  report: ExperimentReport,
  plotFiles: readonly string[],
): string {
  const plots = report.plots.map((plot, index) =>
    `![${plot.title}](${plotFiles[index] ?? ""})`
  );
  return [
    `# ${report.title}`,
    ...report.notes,
    ...report.tables.map(renderTable),
    ...plots,
  ].join("\n\n");
}

function renderTable(table: ReportTable): string {
  const lines = [
    `## ${table.title}`,
    "",
    renderRow(table.columns),
    renderRow(table.columns.map(() => "---")),
    ...table.rows.map(renderRow),
  ];
  return lines.join("\n");
}

function renderRow(cells: readonly string[]): string {
  return `| ${cells.join(" | ")} |`;
}
