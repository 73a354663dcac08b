/** Many requests begin alike. */
import type { FleetShape } from "../bench/fleet_shape.ts";
import type {
  Experiment,
  ExperimentOptions,
  ExperimentReport,
} from "../experiment.ts";
import { findPolicies, policies } from "../policies/index.ts";
import { generateSteady, listFleets } from "../scenarios.ts";
import { runPolicies } from "./run_policies.ts";
import { buildSummary, computeGoodput } from "./summary.ts";

/** Routers when most of a long prompt is common to few groups. */
export const hotPrefix: Experiment = {
  name: "hot_prefix",
  describe: "long prompts share most of their tokens",
  defaultSeeds: 3,
  run: runHotPrefix,
};

const compared = ["trefoildoor", "round_robin", "least_reported"];
const sharedBlocks = 6;
const sharedPrefixes = 30;
const loadFactor = 1.25;

async function runHotPrefix(
  options: ExperimentOptions,
): Promise<ExperimentReport> {
  const fallback = policies.filter((each) => compared.includes(each.name));
  const chosen = findPolicies(options.policy, fallback);
  const results = [];
  for (const fleet of listFleets(options.fleet)) {
    const shape = addSharedPrefixes(fleet);
    const entries = await runPolicies(shape, chosen, {
      seeds: options.seeds,
      generate: (seed) => generateSteady(shape, { seed, factor: loadFactor }),
    });
    results.push({ title: fleet.name, entries });
  }
  return {
    title: "hot_prefix",
    notes: [
      `Seeds 1 to ${options.seeds}, load factor ${loadFactor}; long prompts share ${sharedBlocks} blocks in ${sharedPrefixes} groups. The reference is the best policy.`,
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

function addSharedPrefixes(shape: FleetShape): FleetShape {
  const kinds = shape.kinds.map((kind) =>
    kind.promptTokens[1] > 4_000
      ? { ...kind, sharedBlocks, sharedPrefixes }
      : kind
  );
  return { ...shape, kinds };
}
