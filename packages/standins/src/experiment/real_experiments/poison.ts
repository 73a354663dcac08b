/** One request crashes each engine that runs it, and its caller sends it again. */
import { digestText, ExampleFleet, waitFor } from "@trefoildoor/core";
import { CallEnd, type CallResult, MixName } from "../../load/index.ts";
import type {
  Experiment,
  ExperimentOptions,
  ExperimentReport,
} from "../experiment.ts";
import { countEnds, type RealRun, runRealLoad } from "./real_load.ts";

/** Engines lost to one digest, and the fate of its neighbours. */
export const poison: Experiment = {
  name: "poison",
  describe: "real processes: a request crashes engines and is sent again",
  defaultSeeds: 1,
  run: runPoison,
};

const requestsPerSecond = 20;
const durationMs = 30_000;
const firstSendMs = 4_000;
const sends = 8;
const pauseMs = 2_000;
const poisonPrompt = "this prompt crashes every engine that runs it";

async function runPoison(
  options: ExperimentOptions,
): Promise<ExperimentReport> {
  const rows: string[][] = [];
  for (let seed = 1; seed <= options.seeds; seed++) {
    const results: CallResult[] = [];
    const outcome = await runRealLoad({
      fleet: ExampleFleet.Calderas,
      seed,
      requestsPerSecond,
      durationMs,
      mix: MixName.LongAnswers,
      resends: 0,
      inject: (run) => sendPoison(run, results),
    });
    const done = outcome.answers.filter(({ result }) =>
      result.end === CallEnd.Done
    );
    rows.push([
      String(seed),
      String(outcome.crashes),
      results.map(({ end, detail }) => `${end} ${detail}`).join("; "),
      `${done.length} of ${outcome.answers.length}`,
      JSON.stringify(countEnds(outcome.answers)),
    ]);
  }
  return {
    title: "poison",
    notes: [
      `Real processes, calderas, ${requestsPerSecond} requests/s for ${
        durationMs / 1_000
      } s; the poison request is sent ${sends} times, ${
        pauseMs / 1_000
      } s after each answer.`,
    ],
    tables: [{
      title: "Engines lost to one digest",
      columns: [
        "seed",
        "engines lost",
        "answers to the poison",
        "neighbours done",
        "ends",
      ],
      rows,
    }],
    plots: [],
    data: rows,
  };
}

async function sendPoison(
  run: RealRun,
  results: CallResult[],
): Promise<void> {
  for (const { standin } of run.fleet.engines) {
    standin.crashDigests.add(digestText(poisonPrompt));
  }
  await waitFor(firstSendMs);
  for (let sent = 0; sent < sends; sent++) {
    const { model, apiKey } = run;
    results.push(
      await run.caller.complete({
        model,
        apiKey,
        prompt: poisonPrompt,
        maxTokens: 50,
      }),
    );
    await waitFor(pauseMs);
  }
}
