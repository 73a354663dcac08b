/** Command line of the load tool. */
import process from "node:process";
import { ExampleFleet } from "@trefoildoor/core";
import sade from "sade";
import { type Fleet, startFleet } from "../fleet/index.ts";
import { type ComparedSide, compareWithPipe } from "./compare.ts";
import { renderReports } from "./print_report.ts";
import { runLoad } from "./run_load.ts";
import { MixName } from "./workload.ts";

/** Options of the commands, as the command line gives them. */
interface CommandOptions {
  readonly fleet: string;
  readonly rate: number;
  readonly seconds: number;
  readonly mix: string;
  readonly bookings: number;
  readonly seed: number;
  readonly entries?: string;
  readonly key?: string;
  readonly model: string;
  readonly service: string;
}

const millisecondsPerSecond = 1_000;

function main(): void {
  const program = sade("load");
  program
    .command("run", "Send a seeded workload and check every answer")
    .option("--fleet", "calderas or association", ExampleFleet.Association)
    .option("--rate", "Requests per second", 20)
    .option("--seconds", "Length of the run", 10)
    .option("--mix", Object.values(MixName).join(", "), MixName.Shifting)
    .option("--bookings", "Share of bookings, 0 to 1", 0.1)
    .option("--seed", "Seed of the workload and of every fault", 1)
    .option("--entries", "Addresses of running entry instances, by comma")
    .option("--key", "API key, with --entries")
    .option("--model", "Model, with --entries", "")
    .option("--service", "Service, with --entries", "")
    .action(runCommand);
  program
    .command("compare", "Compare one instance with a bare pipe")
    .option("--rate", "Requests per second", 40)
    .option("--seconds", "Length of each run", 10)
    .option("--mix", Object.values(MixName).join(", "), MixName.LongAnswers)
    .option("--seed", "Seed of the workload", 1)
    .action(compareCommand);
  program.parse(process.argv);
}

async function runCommand(options: CommandOptions): Promise<void> {
  if (options.entries) {
    const entries = options.entries.split(",");
    const target = {
      listEntries: () => entries,
      model: options.model,
      service: options.service,
      apiKeys: [options.key ?? ""],
    };
    const report = await runLoad({ ...readWorkload(options), target });
    console.log(renderReports({ run: report }));
    return;
  }
  const fleet = await startFleet({
    fleet: options.fleet as ExampleFleet,
    seed: options.seed,
  });
  try {
    const report = await runLoad({
      ...readWorkload(options),
      target: {
        ...describeFleet(fleet),
        listEntries: () =>
          fleet.listInstances().map(({ callerAddress }) => callerAddress),
      },
    });
    console.log(renderReports({ [options.fleet]: report }));
    process.exitCode = report.ends.wrong + report.ends.cut === 0 ? 0 : 1;
  } finally {
    await fleet.close();
  }
}

async function compareCommand(options: CommandOptions): Promise<void> {
  const fleet = await startFleet({
    fleet: ExampleFleet.Association,
    instances: 1,
    seed: options.seed,
    engine: fastEngine,
    editBundle: (bundle) => ({
      ...bundle,
      pools: bundle.pools.map((pool) => ({
        ...pool,
        engines: pool.engines.slice(0, 1),
      })),
    }),
  });
  try {
    const { pipe, instance } = await compareWithPipe(fleet, {
      ...readWorkload({ ...options, bookings: 0 }),
      target: describeFleet(fleet),
    });
    const reports = { pipe: pipe.report, instance: instance.report };
    console.log(renderReports(reports));
    console.log(formatSide("pipe", pipe));
    console.log(formatSide("instance", instance));
  } finally {
    await fleet.close();
  }
}

/** An engine that is never the bottleneck of a comparison. */
const fastEngine = {
  decodeStepMs: 5,
  decodeStepMsPerSequence: 0,
  prefillTokensPerSecond: 1e6,
  maxRunning: 512,
  kvBlocks: 8_192,
};

function readWorkload(
  options: CommandOptions,
): Omit<Parameters<typeof runLoad>[0], "target"> {
  return {
    seed: Number(options.seed),
    requestsPerSecond: Number(options.rate),
    durationMs: Number(options.seconds) * millisecondsPerSecond,
    mix: options.mix as MixName,
    bookingShare: Number(options.bookings),
  };
}

function describeFleet(fleet: Fleet): {
  readonly model: string;
  readonly service: string;
  readonly apiKeys: readonly string[];
} {
  const { pools, services, callers } = fleet.bundle;
  return {
    model: pools[0]?.models[0]?.model ?? "",
    service: services[0]?.name ?? "",
    apiKeys: callers.map(({ name }) => fleet.getKey(name)),
  };
}

function formatSide(name: string, side: ComparedSide): string {
  const tokens = side.tokensPerCoreSecond.toFixed(0);
  const requests = side.requestsPerCoreSecond.toFixed(0);
  const seconds = side.cpuSeconds.toFixed(2);
  return `${name}: ${tokens} tokens and ${requests} requests per second of one core (${seconds} s of processor time)`;
}

main();
