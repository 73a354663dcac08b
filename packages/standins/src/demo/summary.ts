/** Table of what happened in the demo. */
import Table from "cli-table3";
import { CallEnd, type LoadReportSummary } from "../load/index.ts";
import type { BookingRuns } from "./run_demo.ts";
import type { VersionTime } from "./versions.ts";

/** What the demo saw. */
export interface DemoSummary {
  readonly report: LoadReportSummary;
  readonly runs: BookingRuns;
  readonly versions: readonly VersionTime[];
  readonly exitCode: number | undefined;
}

/** Renders the table. */
export function renderSummary(summary: DemoSummary): string {
  const { report, runs, versions, exitCode } = summary;
  const table = new Table({
    head: ["what", "measured"],
    style: { head: [], border: [] },
  });
  table.push(
    ["requests", String(report.requests)],
    ["whole answers", String(report.ends[CallEnd.Done])],
    ["refused as not run", String(report.ends[CallEnd.NotRun])],
    ["unknown, cut or wrong", String(countBad(report))],
    ["whole answers a second", report.goodput.toFixed(1)],
    ["tokens a second", report.tokensPerSecond.toFixed(0)],
    [
      "first token p50 / p95",
      `${formatMs(report.firstToken.p50)} / ${formatMs(report.firstToken.p95)}`,
    ],
    [
      "between tokens p50 / p95",
      `${formatMs(report.betweenTokens.p50)} / ${
        formatMs(report.betweenTokens.p95)
      }`,
    ],
    [
      "booking p50 / p95",
      `${formatMs(report.booking.p50)} / ${formatMs(report.booking.p95)}`,
    ],
    ["bookings run / most runs of one key", `${runs.keys} / ${runs.most}`],
    ["exit code of the retired instance", String(exitCode)],
    ...listDomains(versions).map(({ failureDomain, afterMs }) => [
      `version 2 in force in ${failureDomain} after`,
      formatMs(afterMs),
    ]),
    ...Object.entries(report.details).map((
      [detail, count],
    ) => [detail, String(count)]),
  );
  return table.toString();
}

function countBad({ ends }: LoadReportSummary): number {
  return ends[CallEnd.Unknown] + ends[CallEnd.Cut] + ends[CallEnd.Wrong];
}

/** Latest instance of each failure domain. */
function listDomains(versions: readonly VersionTime[]): readonly VersionTime[] {
  const latest = new Map<string, VersionTime>();
  for (const version of versions) {
    const known = latest.get(version.failureDomain);
    if (!known || known.afterMs < version.afterMs) {
      latest.set(version.failureDomain, version);
    }
  }
  return [...latest.values()];
}

function formatMs(ms: number): string {
  return `${ms.toFixed(1)} ms`;
}
