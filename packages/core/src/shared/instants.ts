/** Points in time whose age also counts the time for which the machine was suspended. */

/** A point in time on both clocks of the runtime, in ms. */
export interface Instant {
  readonly monotonicMs: number;
  readonly dateMs: number;
}

/** Before every other instant. */
export const noInstant: Instant = { monotonicMs: -Infinity, dateMs: -Infinity };

/** Returns the instant `agoMs` before now. */
export function takeInstant(agoMs = 0): Instant {
  return {
    monotonicMs: performance.now() - agoMs,
    dateMs: Date.now() - agoMs,
  };
}

/** Returns the instant `ms` later, or earlier if that is negative. */
export function addMs({ monotonicMs, dateMs }: Instant, ms: number): Instant {
  return { monotonicMs: monotonicMs + ms, dateMs: dateMs + ms };
}

/**
 * Age of an instant, in ms. The monotonic clock stands still while the machine
 * is suspended and the date may be set, so the longer of the two times counts.
 */
export function getInstantAgeMs({ monotonicMs, dateMs }: Instant): number {
  return Math.max(performance.now() - monotonicMs, Date.now() - dateMs);
}

/** Returns the later of two instants. */
export function pickLater(left: Instant, right: Instant): Instant {
  return left.monotonicMs >= right.monotonicMs ? left : right;
}
