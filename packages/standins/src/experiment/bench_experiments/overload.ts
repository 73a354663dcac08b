/** Offered load up to twice what the fleet can serve. */
import type {
  Experiment,
  ExperimentOptions,
  ExperimentReport,
} from "../experiment.ts";
import { findPolicies, policies } from "../policies/index.ts";
import { generateSteady, listFleets } from "../scenarios.ts";
import { runPolicies } from "./run_policies.ts";
import { buildSummary, computeGoodput, type PolicyRuns } from "./summary.ts";

/** Goodput against offered load, with and without admission. */
export const overload: Experiment = {
  name: "overload",
  describe: "offered load up to twice the capacity",
  defaultSeeds: 3,
  run: runOverload,
};

const factors = [0.5, 0.75, 1, 1.25, 1.5, 2];
const compared = ["trefoildoor", "open_admission", "static_roles"];

async function runOverload(
  options: ExperimentOptions,
): Promise<ExperimentReport> {
  const fallback = policies.filter((each) => compared.includes(each.name));
  const chosen = findPolicies(options.policy, fallback);
  const tables = [];
  const values = [];
  const data = [];
  for (const shape of listFleets(options.fleet)) {
    for (const policy of chosen) {
      const entries: PolicyRuns[] = [];
      for (const factor of factors) {
        const [entry] = await runPolicies(shape, [policy], {
          seeds: options.seeds,
          generate: (seed) => generateSteady(shape, { seed, factor }),
        });
        if (!entry) continue;
        entries.push({ ...entry, label: `${policy.name} x${factor}` });
        values.push({
          case: `${shape.name} ${policy.name}`,
          factor,
          goodput: computeGoodput(entry.runs),
        });
      }
      const reference = Math.max(
        ...entries.map((entry) => computeGoodput(entry.runs)),
      );
      tables.push(
        buildSummary(`${shape.name} ${policy.name}`, entries, { reference }),
      );
      data.push({ fleet: shape.name, policy: policy.name, entries });
    }
  }
  return {
    title: "overload",
    notes: [
      `Seeds 1 to ${options.seeds}. The reference is each policy's own peak; x1 is about the capacity for the middle mix.`,
    ],
    tables,
    plots: [{
      name: "overload",
      title: "Goodput against offered load",
      specification: {
        width: 500,
        height: 300,
        data: { values },
        mark: { type: "line", point: true },
        encoding: {
          x: { field: "factor", type: "quantitative" },
          y: { field: "goodput", type: "quantitative" },
          color: { field: "case", type: "nominal" },
        },
      },
    }],
    data,
  };
}
