/** Waits for changes of a followed stream, and appends to it with retries. */
import { type LogEvent, waitFor } from "../../shared/index.ts";
import type {
  ControlState,
  FollowedStream,
  LogRecord,
} from "../../types/index.ts";
import { orderEvents } from "./events.ts";

const appendRetryDelayMs = 500;

/** Resolves when the state changes, `ms` have passed or the signal aborts. */
export async function waitForChange(
  stream: FollowedStream<ControlState>,
  ms: number,
  options: { readonly signal: AbortSignal },
): Promise<void> {
  const changed = new AbortController();
  const unsubscribe = stream.onChange(() => changed.abort());
  await waitFor(ms, AbortSignal.any([changed.signal, options.signal]));
  unsubscribe();
}

/**
 * Appends a record and retries until that succeeds or the signal aborts. For
 * records of which a repeat has no effect.
 */
export async function appendWithRetry(
  record: LogRecord,
  options: {
    readonly stream: FollowedStream<ControlState>;
    readonly logEvent?: LogEvent;
    readonly signal: AbortSignal;
  },
): Promise<void> {
  while (!options.signal.aborted) {
    try {
      await options.stream.append([record]);
      return;
    } catch {
      options.logEvent?.(orderEvents.recordRetried, { kind: record.kind });
      await waitFor(appendRetryDelayMs, options.signal);
    }
  }
}
