/** Measures how late a periodic timer fires, which shows that the event loop is blocked or the process has too little processor time. */
import { type LogEvent, waitFor } from "@trefoildoor/core";
import { entryEvents } from "./events.ts";

/** Callbacks of the measurement. */
export interface WatchEventLoopOptions {
  /** Called with each measured delay, in ms. */
  readonly onDelay: (delayMs: number) => void;
  readonly logEvent: LogEvent;
  readonly signal: AbortSignal;
}

const intervalMs = 500;
/** Delay above which the event loop counts as blocked, in ms: half of a load balancer's usual timeout. */
const blockedMs = 500;

/** Measures until the signal aborts. */
export function watchEventLoop(options: WatchEventLoopOptions): void {
  void run();

  async function run(): Promise<void> {
    while (!options.signal.aborted) {
      const startMs = performance.now();
      await waitFor(intervalMs, options.signal);
      if (options.signal.aborted) return;
      const delayMs = Math.max(performance.now() - startMs - intervalMs, 0);
      options.onDelay(delayMs);
      if (delayMs < blockedMs) continue;
      options.logEvent(entryEvents.eventLoopBlocked, {
        delayMs: Math.round(delayMs),
      });
    }
  }
}
