/** Command line of the experiments. */
import process from "node:process";
import sade from "sade";
import { experiments } from "./experiments.ts";
import { renderMarkdown } from "./report/markdown.ts";
import { renderPlots } from "./report/plots.ts";

/** Options as sade hands them over. */
interface CommandOptions {
  readonly policy?: string;
  readonly fleet?: string;
  readonly seeds?: number;
  readonly seed?: number;
  readonly json?: boolean;
  readonly out?: string;
}

function main(): void {
  const names = experiments.map((each) => each.name).join(", ");
  sade("experiment <name>", true)
    .describe(`Runs an experiment and prints its report. One of ${names}.`)
    .option("--policy", "Only these policies, with commas")
    .option("--fleet", "Only this fleet")
    .option("--seeds", "Count of seeds")
    .option("--seed", "Only this seed, in experiments that run seeds apart")
    .option("--json", "Print the raw figures")
    .option("--out", "Folder for plots", "reports/experiments")
    .action(runExperiment)
    .parse(process.argv);
}

async function runExperiment(
  name: string,
  options: CommandOptions,
): Promise<void> {
  const experiment = experiments.find((each) => each.name === name);
  if (!experiment) {
    const known = experiments.map((each) => each.name).join(", ");
    console.error(`Experiment "${name}" is not known; there are ${known}`);
    process.exitCode = 2;
    return;
  }
  const report = await experiment.run({
    policy: options.policy,
    fleet: options.fleet,
    seeds: Number(options.seeds ?? experiment.defaultSeeds),
    seed: options.seed === undefined ? undefined : Number(options.seed),
  });
  if (options.json) {
    console.log(JSON.stringify(report.data, undefined, 2));
    return;
  }
  const folder = `${options.out ?? "reports/experiments"}/${name}`;
  const files = await renderPlots(report.plots, folder);
  console.log(renderMarkdown(report, files));
}

main();
