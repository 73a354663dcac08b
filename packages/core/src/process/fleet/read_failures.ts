/**
 * Counts failed reads in a row, as far as they show that the store is away now.
 * What failed before the process was paused shows nothing: its connections may
 * have broken, or the reads were over only because it did not get on.
 */
import {
  getInstantAgeMs,
  type Instant,
  takeInstant,
} from "../../shared/index.ts";

/** Failed reads in a row. */
export interface ReadFailures {
  /** Tells that the next step, a read or its end, comes within `ms` unless the process is paused. */
  readonly expectStep: (ms: number) => void;
  readonly record: () => void;
  readonly clear: () => void;
  /** Failures in a row since the process was paused last. */
  readonly count: () => number;
}

/** Time by which a step is later than expected only if the process was paused, in ms. */
const pauseSlackMs = 400;

/** Starts without failures. */
export function createReadFailures(): ReadFailures {
  let failures = 0;
  let expected: { readonly since: Instant; readonly ms: number } | undefined;

  /** Forgets failures if the process did not get on in the meantime. */
  function dropStale(): void {
    if (!expected) return;
    if (getInstantAgeMs(expected.since) > expected.ms + pauseSlackMs) {
      failures = 0;
    }
  }

  return {
    expectStep(ms): void {
      dropStale();
      expected = { since: takeInstant(), ms };
    },
    record(): void {
      dropStale();
      failures += 1;
    },
    clear(): void {
      failures = 0;
    },
    count(): number {
      dropStale();
      return failures;
    },
  };
}
