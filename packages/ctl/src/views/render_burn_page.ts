/** The service-level report as a page with a plot. */
import {
  type BundleObjective,
  type BurnPoint,
  type BurnReport,
  type BurnSummary,
  computeBurnSeries,
} from "@trefoildoor/core";
import * as vega from "vega";
import { compile, type TopLevelSpec } from "vega-lite";
import { formatBurn } from "./format_burn.ts";

const plotSlices = 120;

/** Renders a page that needs no script and no other file. */
export async function renderBurnPage(
  report: BurnReport,
  options: {
    readonly summaries: readonly BurnSummary[];
    readonly objectives: readonly BundleObjective[];
  },
): Promise<string> {
  const points = computeBurnSeries(options.summaries, {
    objectives: options.objectives,
    window: report,
    slices: plotSlices,
  });
  return [
    "<!doctype html>",
    '<html lang="en"><head><meta charset="utf-8">',
    "<title>Service-level burn</title></head><body>",
    "<h1>Service-level burn</h1>",
    await renderPlot(points),
    `<pre>${encodeHtml(formatBurn(report))}</pre>`,
    "</body></html>",
    "",
  ].join("\n");
}

async function renderPlot(points: readonly BurnPoint[]): Promise<string> {
  const { spec } = compile(buildPlot(points));
  const view = new vega.View(vega.parse(spec), { renderer: "none" });
  const svg = await view.toSVG();
  view.finalize();
  return svg;
}

function buildPlot(points: readonly BurnPoint[]): TopLevelSpec {
  const values = points.map((
    { toMs, group, model, indicator, good, total },
  ) => ({
    time: new Date(toMs).toISOString(),
    objective: [group, model].filter(Boolean).join("/"),
    indicator,
    share: good / total,
  }));
  return {
    data: { values },
    mark: { type: "line", point: true },
    width: 760,
    height: 160,
    encoding: {
      row: { field: "indicator", type: "nominal", title: null },
      x: {
        field: "time",
        type: "temporal",
        title: "time (UTC)",
        scale: {
          type: "utc",
        },
      },
      y: {
        field: "share",
        type: "quantitative",
        title: "share in order",
        scale: { zero: false },
        axis: { format: "%" },
      },
      color: { field: "objective", type: "nominal" },
    },
  };
}

function encodeHtml(text: string): string {
  return text.replaceAll("&", "&amp;").replaceAll("<", "&lt;")
    .replaceAll(">", "&gt;");
}
