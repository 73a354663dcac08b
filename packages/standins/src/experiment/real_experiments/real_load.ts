/** Drives a fleet of real processes and keeps every answer with its times. */
import { type ExampleFleet, waitFor } from "@trefoildoor/core";
import {
  type Fleet,
  type FleetOptions,
  startFleet,
} from "../../fleet/index.ts";
import {
  CallEnd,
  type Caller,
  type CallResult,
  createBalancer,
  createCaller,
  generateWorkload,
  type MixName,
} from "../../load/index.ts";
import { createRandom } from "../bench/random.ts";

/** A load on a fleet of real processes. */
export interface RealLoadOptions {
  readonly fleet: ExampleFleet;
  readonly seed: number;
  readonly requestsPerSecond: number;
  readonly durationMs: number;
  readonly mix: MixName;
  /** Times that a caller sends again, at once, what was not done. */
  readonly resends: number;
  readonly engine?: FleetOptions["engine"];
  /** Runs beside the load, from its start. */
  readonly inject?: (run: RealRun) => Promise<void>;
}

/** A running load. */
export interface RealRun {
  readonly fleet: Fleet;
  readonly caller: Caller;
  readonly model: string;
  readonly apiKey: string;
}

/** One answer of the load. */
export interface RealAnswer {
  /** Time of the answer from the load's start, in ms. */
  readonly atMs: number;
  /** Whether it answers a request that was sent again. */
  readonly resent: boolean;
  readonly result: CallResult;
}

/** All answers of a load, with what the engines saw. */
export interface RealOutcome {
  readonly answers: readonly RealAnswer[];
  /** Generations and exports that engines took. */
  readonly engineCalls: number;
  readonly crashes: number;
}

const readyPollMs = 20;

/** Starts the fleet, runs the load with its faults, and stops the fleet. */
export async function runRealLoad(
  options: RealLoadOptions,
): Promise<RealOutcome> {
  const { fleet: name, seed, engine } = options;
  const fleet = await startFleet({ fleet: name, seed, engine });
  const stop = new AbortController();
  try {
    const balancer = createBalancer({
      listEntries: () =>
        fleet.listInstances().map((instance) => instance.callerAddress),
      random: createRandom(seed + 1),
    });
    void balancer.keep(stop.signal);
    while (balancer.rankEntries().length < fleet.listInstances().length) {
      await waitFor(readyPollMs);
    }
    const caller = createCaller(balancer);
    const { pools, callers } = fleet.bundle;
    const run: RealRun = {
      fleet,
      caller,
      model: pools[0]?.models[0]?.model ?? "",
      apiKey: fleet.getKey(callers[0]?.name ?? ""),
    };
    const crashes = observeCrashes(fleet, stop.signal);
    const injected = options.inject?.(run);
    const answers = await sendAll(run, options);
    await injected;
    const engineCalls = fleet.engines.reduce(
      (sum, { standin }) => sum + standin.listGenerations().length,
      0,
    );
    await caller.close();
    return { answers, engineCalls, crashes: crashes.count() };
  } finally {
    stop.abort();
    await fleet.close();
  }
}

/** Counts the engines' starts beyond the first. */
function observeCrashes(
  fleet: Fleet,
  signal: AbortSignal,
): { readonly count: () => number } {
  const starts = new Set<string>();
  const first = fleet.engines.length;
  const observe = (): void => {
    for (const { standin } of fleet.engines) {
      starts.add(standin.getState().startId);
    }
  };
  observe();
  const timer = setInterval(observe, readyPollMs);
  signal.addEventListener("abort", () => clearInterval(timer), { once: true });
  return {
    count(): number {
      observe();
      return starts.size - first;
    },
  };
}

async function sendAll(
  run: RealRun,
  options: RealLoadOptions,
): Promise<readonly RealAnswer[]> {
  const answers: RealAnswer[] = [];
  const startMs = performance.now();
  const calls: Promise<void>[] = [];
  const workload = { ...options, bookingShare: 0, callers: 1 };
  for (const planned of generateWorkload(workload)) {
    const waitMs = startMs + planned.atMs - performance.now();
    if (waitMs > 0) await waitFor(waitMs);
    calls.push(sendOne(planned));
  }
  await Promise.all(calls);
  return answers;

  async function sendOne(
    planned: { readonly prompt: string; readonly maxTokens: number },
  ): Promise<void> {
    const { caller, model, apiKey } = run;
    for (let sent = 0; sent <= options.resends; sent++) {
      const result = await caller.complete({ ...planned, model, apiKey });
      const atMs = performance.now() - startMs;
      answers.push({ atMs, resent: sent > 0, result });
      if (result.end === CallEnd.Done) return;
    }
  }
}

/** Counts answers by how they ended. */
export function countEnds(
  answers: readonly RealAnswer[],
): Readonly<Record<string, number>> {
  const counts: Record<string, number> = {};
  for (const { result } of answers) {
    const key = result.end === CallEnd.Done
      ? result.end
      : `${result.end}: ${result.detail}`;
    counts[key] = (counts[key] ?? 0) + 1;
  }
  return counts;
}
