/** Plots as SVG files. */
import { mkdir, writeFile } from "node:fs/promises";
import { join } from "node:path";
import * as vega from "vega";
import { compile, type TopLevelSpec } from "vega-lite";
import type { ReportPlot } from "../experiment.ts";

/** Writes the plots and returns their paths. */
export async function renderPlots(
  plots: readonly ReportPlot[],
  folder: string,
): Promise<readonly string[]> {
  if (plots.length > 0) await mkdir(folder, { recursive: true });
  const paths: string[] = [];
  for (const plot of plots) {
    const path = join(folder, `${plot.name}.svg`);
    await writeFile(path, await renderPlot(plot));
    paths.push(path);
  }
  return paths;
}

/** Renders one plot. */
export async function renderPlot(plot: ReportPlot): Promise<string> {
  const specification = {
    $schema: "https://vega.github.io/schema/vega-lite/v6.json",
    title: plot.title,
    ...plot.specification,
  } as unknown as TopLevelSpec;
  const compiled = compile(specification).spec;
  const view = new vega.View(vega.parse(compiled), { renderer: "none" });
  return await view.toSVG();
}
