/** Experiment: random faults on real instances, judged by the endpoints' own records. */
import type {
  Experiment,
  ExperimentOptions,
  ExperimentReport,
} from "../experiment.ts";
import { type FaultRunResult, runFaults } from "./run_faults.ts";

const defaultSeeds = 3;

/** The experiment. */
export const faults: Experiment = {
  name: "faults",
  describe: "Random faults on real instances; violations must be none",
  defaultSeeds,
  run: runSeeds,
};

async function runSeeds(options: ExperimentOptions): Promise<ExperimentReport> {
  const seeds = options.seed !== undefined
    ? [options.seed]
    : Array.from({ length: options.seeds }, (_, index) => index + 1);
  const results: FaultRunResult[] = [];
  for (const seed of seeds) results.push(await runFaults(seed));
  const violations = results.flatMap((result) => result.violations);
  return {
    title: "Random faults on real instances",
    notes: [
      `${violations.length} violations in ${results.length} runs.`,
      ...results.filter((result) => result.violations.length > 0).map((
        { seed },
      ) => `Replay: \`npm run experiment -- faults --seed ${seed}\``),
    ],
    tables: [{
      title: "Runs",
      columns: [
        "seed",
        "engines",
        "faults",
        "requests",
        "done",
        "not run",
        "unknown",
        "no answer",
        "not run after a run",
        "bundles",
        "rollout",
        "violations",
      ],
      rows: results.map(buildRow),
    }],
    plots: [],
    data: results,
  };
}

function buildRow(result: FaultRunResult): readonly string[] {
  const count = (outcome: string): string =>
    String(result.outcomes.filter((one) => one === outcome).length);
  return [
    String(result.seed),
    result.fenceCheck,
    String(result.faults),
    String(result.outcomes.length),
    count("done"),
    count("not_run"),
    count("unknown"),
    count("none"),
    String(result.notRunAfterRun),
    String(result.bundles),
    result.rollout,
    result.violations.join("; ") || "none",
  ];
}
