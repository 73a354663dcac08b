/** Measures how long endpoints take, and whether the time is theirs: a process that does not get on measures its own pause. */
import type { ForwardDependencies } from "./types.ts";

/** Time since a send. */
export interface Stopwatch {
  /** Time since the start, in ms. */
  readonly getMs: () => number;
  /** Whether this process got on all the time. */
  readonly isReliable: () => boolean;
}

/** Longest time without processor time in which a time still shows what the endpoint took, in ms. */
const maxStandstillMs = 10;

/** Starts to measure. */
export function startStopwatch(
  { clock }: Pick<ForwardDependencies, "clock">,
): Stopwatch {
  const startMs = performance.now();
  const startRunningMs = clock?.getMs() ?? startMs;
  const getMs = (): number => performance.now() - startMs;
  return {
    getMs,
    isReliable(): boolean {
      const runningMs = (clock?.getMs() ?? performance.now()) - startRunningMs;
      return getMs() - runningMs <= maxStandstillMs;
    },
  };
}
