/** Engines crash under load while callers send again at once. */
import { ExampleFleet, waitFor } from "@trefoildoor/core";
import { CallEnd, MixName } from "../../load/index.ts";
import type {
  Experiment,
  ExperimentOptions,
  ExperimentReport,
} from "../experiment.ts";
import { countEnds, type RealRun, runRealLoad } from "./real_load.ts";

/** Endpoint calls per accepted request while engines crash. */
export const retryStorm: Experiment = {
  name: "retry_storm",
  describe: "real processes: engines crash and callers send again at once",
  defaultSeeds: 1,
  run: runRetryStorm,
};

const requestsPerSecond = 40;
const durationMs = 20_000;
const firstCrashMs = 4_000;
const crashIntervalMs = 3_000;
const crashes = 4;
const resends = 3;

async function runRetryStorm(
  options: ExperimentOptions,
): Promise<ExperimentReport> {
  const rows: string[][] = [];
  for (let seed = 1; seed <= options.seeds; seed++) {
    const outcome = await runRealLoad({
      fleet: ExampleFleet.Calderas,
      seed,
      requestsPerSecond,
      durationMs,
      mix: MixName.Shifting,
      resends,
      inject: crashInTurn,
    });
    const accepted = outcome.answers.filter(({ result }) =>
      result.end !== CallEnd.NotRun
    );
    rows.push([
      String(seed),
      String(outcome.answers.length),
      String(accepted.length),
      String(outcome.engineCalls),
      (outcome.engineCalls / accepted.length).toFixed(3),
      String(outcome.crashes),
      JSON.stringify(countEnds(outcome.answers)),
    ]);
  }
  return {
    title: "retry_storm",
    notes: [
      `Real processes, calderas, ${requestsPerSecond} requests/s for ${
        durationMs / 1_000
      } s, ${crashes} engine crashes, callers send up to ${resends} times again at once. Accepted is what was not refused as not run.`,
    ],
    tables: [{
      title: "Endpoint calls per accepted request",
      columns: [
        "seed",
        "answers",
        "accepted",
        "endpoint calls",
        "calls/accepted",
        "crashes",
        "ends",
      ],
      rows,
    }],
    plots: [],
    data: rows,
  };
}

async function crashInTurn({ fleet }: RealRun): Promise<void> {
  await waitFor(firstCrashMs);
  for (let crash = 0; crash < crashes; crash++) {
    await fleet.engines[crash % fleet.engines.length]?.standin.crash();
    await waitFor(crashIntervalMs);
  }
}
