/** A clock for the silence of others: it stands still while this process does not get on. */

/** Time in which this process got on. */
export interface RunningClock {
  /** Time since the start without the gaps in which the process did not get on, in ms. */
  readonly getMs: () => number;
}

const tickMs = 100;
/** Time between two ticks above which the process did not get on, in ms. */
const maxTickMs = 300;

/** Starts the clock, which ticks until the signal aborts. */
export function startRunningClock(signal?: AbortSignal): RunningClock {
  let tickedMs = performance.now();
  let gapsMs = 0;

  function countGap(nowMs: number): number {
    return Math.max(nowMs - tickedMs - maxTickMs, 0);
  }

  const timer = setInterval(() => {
    const nowMs = performance.now();
    gapsMs += countGap(nowMs);
    tickedMs = nowMs;
  }, tickMs);
  timer.unref();
  signal?.addEventListener("abort", () => clearInterval(timer), { once: true });
  return {
    getMs(): number {
      const nowMs = performance.now();
      return nowMs - gapsMs - countGap(nowMs);
    },
  };
}
