/** Load reports arrive ever later. */
import type {
  Experiment,
  ExperimentOptions,
  ExperimentReport,
} from "../experiment.ts";
import { findPolicies, policies } from "../policies/index.ts";
import { generateSteady, listFleets } from "../scenarios.ts";
import { runPolicies } from "./run_policies.ts";
import { buildSummary, computeGoodput } from "./summary.ts";

/** Routers under growing report lag. */
export const staleReports: Experiment = {
  name: "stale_reports",
  describe: "load reports that lag by up to 8 s",
  defaultSeeds: 3,
  run: runStaleReports,
};

const lagsMs = [200, 1_000, 3_000, 8_000];
const compared = ["trefoildoor", "round_robin", "least_reported"];
const loadFactor = 0.85;

async function runStaleReports(
  options: ExperimentOptions,
): Promise<ExperimentReport> {
  const fallback = policies.filter((each) => compared.includes(each.name));
  const chosen = findPolicies(options.policy, fallback);
  const results = [];
  for (const fleet of listFleets(options.fleet)) {
    for (const reportLagMs of lagsMs) {
      const shape = { ...fleet, figures: { ...fleet.figures, reportLagMs } };
      const entries = await runPolicies(shape, chosen, {
        seeds: options.seeds,
        generate: (seed) => generateSteady(shape, { seed, factor: loadFactor }),
      });
      results.push({ title: `${fleet.name}, lag ${reportLagMs} ms`, entries });
    }
  }
  return {
    title: "stale_reports",
    notes: [
      `Seeds 1 to ${options.seeds}, load factor ${loadFactor}. The reference is the best policy of each case.`,
    ],
    tables: results.map(({ title, entries }) =>
      buildSummary(title, entries, {
        reference: Math.max(
          ...entries.map((entry) => computeGoodput(entry.runs)),
        ),
      })
    ),
    plots: [],
    data: results,
  };
}
