/** The paused clock of tests: time stands still until a test advances it. */
import FakeTimers from "@sinonjs/fake-timers";

/** A paused clock that replaces the runtime's timers and clocks. */
export type PausedClock = ReturnType<typeof FakeTimers.install>;

/** Wall-clock time at which a paused clock starts, in ms since the epoch. */
export const pausedClockStartMs = Date.UTC(2026, 0, 1);

/** Replaces the runtime's clock; the caller calls `uninstall` at the end. */
export function pauseClock(): PausedClock {
  const clock = FakeTimers.install({
    now: pausedClockStartMs,
    toFake: [
      "setTimeout",
      "clearTimeout",
      "setInterval",
      "clearInterval",
      "Date",
      "performance",
    ],
  });
  const { tickAsync } = clock;
  clock.tickAsync = async (time) => {
    const nowMs = await tickAsync(time);
    // Polled timers that have expired call back after connections are read.
    await new Promise((resolve) => setImmediate(resolve));
    return nowMs;
  };
  return clock;
}
