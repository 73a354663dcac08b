/** One load on the bench and on real processes, to see how far they agree. */
import {
  computePrefixDigests,
  EngineRole,
  ExampleFleet,
  Priority,
  splitTokens,
} from "@trefoildoor/core";
import { CallEnd, generateWorkload, MixName } from "../../load/index.ts";
import type { RunFigures } from "../bench/figures.ts";
import type { FleetShape } from "../bench/fleet_shape.ts";
import type { Load, RequestKind } from "../bench/load.ts";
import { runBench } from "../bench/run.ts";
import type {
  Experiment,
  ExperimentOptions,
  ExperimentReport,
} from "../experiment.ts";
import { calderas } from "../scenarios.ts";
import { type RealOutcome, runRealLoad } from "./real_load.ts";

/** The same requests both ways. */
export const bothWays: Experiment = {
  name: "both_ways",
  describe: "one load on the bench and on real processes",
  defaultSeeds: 1,
  run: runBothWays,
};

const rates = [30, 60];
const durationMs = 20_000;
const mix = MixName.Shifting;
const instances = 7;
const engine = {
  prefillTokensPerSecond: 10_000,
  decodeStepMs: 18,
  decodeStepMsPerSequence: 0.25,
  kvBlocks: 200,
  maxRunning: 64,
};
const kind: RequestKind = {
  ...calderas.kinds[0],
  caller: "caller",
  share: 1,
  priority: Priority.Normal,
  deadlineMs: 30_000,
  promptTokens: [1, 1],
  outputTokens: [1, 1],
  maxTokens: 450,
  sharedBlocks: 0,
  sharedPrefixes: 0,
};
const shape: FleetShape = {
  ...calderas,
  roles: calderas.roles.map(() => EngineRole.Mixed),
  instances,
  figures: {
    ...calderas.figures,
    stepMs: engine.decodeStepMs,
    msPerSequence: engine.decodeStepMsPerSequence,
    msPerPromptToken: 1_000 / engine.prefillTokensPerSecond,
    mixedChunkTokens: 512,
    prefillChunkTokens: 512,
    reportLagMs: 250,
  },
};

async function runBothWays(
  options: ExperimentOptions,
): Promise<ExperimentReport> {
  const rows: string[][] = [];
  for (let seed = 1; seed <= options.seeds; seed++) {
    for (const requestsPerSecond of rates) {
      const workload = { seed, requestsPerSecond, durationMs, mix };
      const bench = await runBench({
        shape,
        load: buildLoad(workload),
        seed,
        policy: {
          name: "unchanged",
          describe: "the daemon's decisions without role changes",
          createPlan: () => () => undefined,
        },
      });
      const real = await runRealLoad({
        ...workload,
        fleet: ExampleFleet.Calderas,
        resends: 0,
        engine,
      });
      rows.push(formatBench(`${seed}, ${requestsPerSecond}/s`, bench));
      rows.push(formatReal(`${seed}, ${requestsPerSecond}/s`, real));
    }
  }
  return {
    title: "both_ways",
    notes: [
      `The same seeded requests for ${
        durationMs / 1_000
      } s on calderas' engines, all mixed. Real processes share one machine, and a step of the stand-in engine without running answers has no fixed time.`,
    ],
    tables: [{
      title: "Bench and real processes",
      columns: [
        "seed, rate",
        "way",
        "done",
        "not done",
        "first token p50/p95 ms",
        "between tokens p50/p95 ms",
      ],
      rows,
    }],
    plots: [],
    data: rows,
  };
}

function buildLoad(
  workload: {
    readonly seed: number;
    readonly requestsPerSecond: number;
    readonly durationMs: number;
    readonly mix: MixName;
  },
): Load {
  const { requestsPerSecond } = workload;
  const planned = [
    ...generateWorkload({ ...workload, bookingShare: 0, callers: 1 }),
  ];
  return {
    phases: [{ fromMs: 0, toMs: durationMs, requestsPerSecond, weights: [1] }],
    kinds: [kind],
    requests: planned.map(({ atMs, prompt, maxTokens }) => ({
      atMs,
      kind,
      promptTokens: splitTokens(prompt).length,
      outputTokens: maxTokens,
      prefixes: computePrefixDigests({ model: "", prompt }),
    })),
  };
}

function formatBench(label: string, run: RunFigures): string[] {
  const { firstTokenMs, betweenTokensMs } = run;
  return [
    label,
    "bench",
    String(run.completed),
    String(run.offered - run.completed),
    `${firstTokenMs.p50}/${firstTokenMs.p95}`,
    `${betweenTokensMs.p50}/${betweenTokensMs.p95}`,
  ];
}

function formatReal(label: string, outcome: RealOutcome): string[] {
  const done = outcome.answers.filter(({ result }) =>
    result.end === CallEnd.Done
  );
  const first = done.map(({ result }) => result.firstTokenMs ?? 0);
  const gaps = done.flatMap(({ result }) => result.gapsMs);
  return [
    label,
    "real",
    String(done.length),
    String(outcome.answers.length - done.length),
    formatQuantiles(first),
    formatQuantiles(gaps),
  ];
}

function formatQuantiles(values: readonly number[]): string {
  const sorted = values.toSorted((left, right) => left - right);
  const pick = (share: number): string =>
    (sorted[Math.floor(share * (sorted.length - 1))] ?? 0).toFixed(0);
  return `${pick(0.5)}/${pick(0.95)}`;
}
