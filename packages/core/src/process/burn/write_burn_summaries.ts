/** Background task that appends an instance's service-level summaries to the log. */
import { type LogEvent, logEvent, waitFor } from "../../shared/index.ts";
import type { LogRecord } from "../../types/index.ts";
import type { BurnCounters } from "./burn_counters.ts";
import { burnEvents } from "./events.ts";

const defaultIntervalMs = 30_000;

/** Options of `writeBurnSummaries`. */
export interface WriteBurnSummariesOptions {
  readonly counters: BurnCounters;
  /** Appends to the burn stream; resolves once the records are read back from the log. */
  readonly append: (records: readonly LogRecord[]) => Promise<unknown>;
  /** Stops the task after a final summary. */
  readonly signal: AbortSignal;
  /** Time between summaries, in ms; the instance appends to the stream only once per interval. */
  readonly intervalMs?: number;
  readonly logEvent?: LogEvent;
}

/**
 * Appends one summary per interval until the signal aborts, then a final one.
 * After a failed append the counts stay and are part of the next summary.
 */
export async function writeBurnSummaries(
  options: WriteBurnSummariesOptions,
): Promise<void> {
  const { counters, signal } = options;
  const intervalMs = options.intervalMs ?? defaultIntervalMs;
  const log = options.logEvent ?? logEvent;
  let isDelayed = false;
  while (!signal.aborted) {
    await waitFor(intervalMs, signal);
    const isWritten = await appendSummary(options, { last: signal.aborted });
    if (isWritten && isDelayed) log(burnEvents.summaryResumed);
    if (!isWritten && !isDelayed) log(burnEvents.summaryDelayed);
    isDelayed = !isWritten;
  }

  async function appendSummary(
    { append }: WriteBurnSummariesOptions,
    { last }: { readonly last: boolean },
  ): Promise<boolean> {
    const summary = counters.buildSummary({ last });
    try {
      await append([summary]);
      counters.clear(summary);
      return true;
    } catch {
      return false;
    }
  }
}
