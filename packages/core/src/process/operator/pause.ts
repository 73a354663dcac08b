/** Pause between calls to a receiver that does not answer or refuses them. */

/** Grows with each failure in a row. */
export interface Pause {
  readonly isOver: () => boolean;
  /** Records a call that was refused, or that was not made. */
  readonly recordFailure: () => void;
  /** Records a call without an answer, or whose receiver could not be reached. */
  readonly recordSilence: () => void;
  readonly recordSuccess: () => void;
  /** Calls in a row without an answer; 0 once the last one is a minute ago, as nothing is known then. */
  readonly countSilences: () => number;
}

const firstPauseMs = 500;
const longestPauseMs = 8_000;
/** Time for which a call without an answer counts, in ms. */
const silenceCountsMs = 60_000;

/** Starts without a pause. */
export function createPause(): Pause {
  let failures = 0;
  let silences = 0;
  let silentMs = -Infinity;
  let untilMs = -Infinity;

  function startPause(): void {
    untilMs = performance.now() +
      Math.min(firstPauseMs * 2 ** failures, longestPauseMs);
    failures += 1;
  }

  function countSilences(): number {
    return performance.now() - silentMs < silenceCountsMs ? silences : 0;
  }

  return {
    isOver: () => performance.now() >= untilMs,
    recordFailure: startPause,
    recordSilence(): void {
      silences = countSilences() + 1;
      silentMs = performance.now();
      startPause();
    },
    recordSuccess(): void {
      failures = 0;
      silences = 0;
      untilMs = -Infinity;
    },
    countSilences,
  };
}
