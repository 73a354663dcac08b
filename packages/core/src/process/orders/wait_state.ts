/** Waiting for changes of a followed stream, and appends that must be recorded. */
import { type LogEvent, waitFor } from "../../shared/index.ts";
import type {
  ControlState,
  FollowedStream,
  LogRecord,
} from "../../types/index.ts";
import { orderEvents } from "./events.ts";

const recordRetryMs = 500;

/** Waits until the state changes, `ms` have passed or the signal aborts. */
export async function waitForChange(
  stream: FollowedStream<ControlState>,
  ms: number,
  options: { readonly signal: AbortSignal },
): Promise<void> {
  const changed = new AbortController();
  const stopListening = stream.onChange(() => changed.abort());
  await waitFor(ms, AbortSignal.any([changed.signal, options.signal]));
  stopListening();
}

/** Appends a record until it is in the log; repeats of such records do not count. */
export async function recordUntilDone(
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
      await waitFor(recordRetryMs, options.signal);
    }
  }
}
