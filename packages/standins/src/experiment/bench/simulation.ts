/** Runs asynchronous code on the paused clock until a given time. */
import { setImmediate as waitForTurn } from "node:timers/promises";
import { pauseClock } from "@trefoildoor/testing";

/**
 * Pauses the runtime's clock, starts the simulation and advances the clock
 * from timer to timer for `durationMs`. Restores the clock at the end.
 */
export async function runPaused<T>(
  durationMs: number,
  start: () => T,
): Promise<T> {
  const clock = pauseClock();
  try {
    const endMs = performance.now() + durationMs;
    const started = start();
    await waitForTurn();
    while (performance.now() < endMs && clock.countTimers() > 0) {
      clock.next();
      await waitForTurn();
    }
    return started;
  } finally {
    clock.uninstall();
  }
}
