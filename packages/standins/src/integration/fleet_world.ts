/** What the integration steps share: one fleet and the load on it. */
import type { Fleet, FleetOptions } from "../fleet/index.ts";
import { type LoadReportSummary, MixName, runLoad } from "../load/index.ts";

/** State of one scenario. */
export interface FleetWorld {
  standinFleet?: Fleet;
  standinLoad?: BackgroundLoad;
  matchSnapshot: (received: unknown) => void;
}

/** A load that runs beside the steps. */
export interface BackgroundLoad {
  /** Answers so far. */
  readonly countAnswers: () => number;
  /** Ends the load and waits for all answers. */
  readonly finish: () => Promise<LoadReportSummary>;
}

/** Time that a step with real processes may take, in ms. */
export const stepTimeoutMs = 90_000;

const longestLoadMs = 60_000;

/** Engines fast enough that a scenario takes seconds. */
export const quickFleet: Partial<FleetOptions> = {
  engine: {
    decodeStepMs: 8,
    prefillTokensPerSecond: 200_000,
    holdMs: 3_000,
  },
};

/** Starts a load on all instances that run at any moment. */
export function startBackgroundLoad(
  fleet: Fleet,
  options: {
    readonly seed: number;
    readonly requestsPerSecond: number;
    readonly bookingShare: number;
  },
): BackgroundLoad {
  const stop = new AbortController();
  let answers = 0;
  const report = runLoad({
    ...options,
    durationMs: longestLoadMs,
    mix: MixName.Shifting,
    signal: stop.signal,
    target: describeTarget(fleet),
    onAnswer: (count) => {
      answers = count;
    },
  });
  return {
    countAnswers: () => answers,
    finish: () => {
      stop.abort();
      return report;
    },
  };
}

/** Describes a fleet as the target of a load. */
export function describeTarget(
  fleet: Fleet,
): Parameters<typeof runLoad>[0]["target"] {
  const { pools, services, callers } = fleet.bundle;
  return {
    listEntries: () =>
      fleet.listInstances().map(({ callerAddress }) => callerAddress),
    model: pools[0]?.models[0]?.model ?? "",
    service: services[0]?.name ?? "",
    apiKeys: callers.map(({ name }) => fleet.getKey(name)),
  };
}
