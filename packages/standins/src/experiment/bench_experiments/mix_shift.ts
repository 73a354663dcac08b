/** The prompt-to-output mix swings within minutes. */
import type { FleetShape } from "../bench/fleet_shape.ts";
import { seriesMs } from "../bench/figures.ts";
import type {
  Experiment,
  ExperimentOptions,
  ExperimentReport,
  ReportPlot,
} from "../experiment.ts";
import { findPolicies } from "../policies/index.ts";
import { generateMixShift, listFleets } from "../scenarios.ts";
import { runPolicies } from "./run_policies.ts";
import { buildSummary, computeGoodput, type PolicyRuns } from "./summary.ts";

/** All policies on both fleets against the oracle. */
export const mixShift: Experiment = {
  name: "mix_shift",
  describe: "the mix swings between long prompts and long answers",
  defaultSeeds: 5,
  run: runMixShift,
};

async function runMixShift(
  options: ExperimentOptions,
): Promise<ExperimentReport> {
  const chosen = findPolicies(options.policy);
  const results = [];
  for (const shape of listFleets(options.fleet)) {
    const entries = await runPolicies(shape, chosen, {
      seeds: options.seeds,
      generate: (seed) => generateMixShift(shape, seed),
    });
    results.push({ shape, entries, reference: findReference(entries) });
  }
  return {
    title: "mix_shift",
    notes: [
      `Seeds 1 to ${options.seeds}. The reference is the better oracle, or the best policy where none ran.`,
    ],
    tables: results.map((result) =>
      buildSummary(result.shape.name, result.entries, result)
    ),
    plots: results.map((result) => buildPlot(result.shape, result.entries)),
    data: results,
  };
}

/** The better oracle's goodput, or the best of all without oracles. */
function findReference(entries: readonly PolicyRuns[]): number {
  const oracles = entries.filter((entry) => entry.policy.includes("oracle"));
  const candidates = oracles.length > 0 ? oracles : entries;
  return Math.max(...candidates.map((entry) => computeGoodput(entry.runs)));
}

function buildPlot(
  shape: FleetShape,
  entries: readonly PolicyRuns[],
): ReportPlot {
  const values = entries.flatMap((entry) =>
    (entry.runs[0]?.series ?? []).map((useful, index) => ({
      policy: entry.label,
      seconds: index * seriesMs / 1_000,
      goodput: useful * 1_000 / seriesMs,
    }))
  );
  return {
    name: `mix_shift_${shape.name}`,
    title: `Goodput over time, ${shape.name}, seed 1`,
    specification: {
      width: 700,
      height: 300,
      data: { values },
      mark: "line",
      encoding: {
        x: { field: "seconds", type: "quantitative" },
        y: { field: "goodput", type: "quantitative" },
        color: { field: "policy", type: "nominal" },
      },
    },
  };
}
