/** Timeout for streams that stop delivering events. */
import { Effect, RemoteError, RemoteFailure } from "../../types/index.ts";

/** Interval between checks for a stalled stream, in ms. */
const checkIntervalMs = 100;

/** A stream and its stall timeout. */
export interface StreamOptions<T> {
  /** Opens the stream; it must end with a rejection when the signal aborts. */
  readonly open: (signal: AbortSignal) => AsyncIterable<T>;
  /** Cancels the stream. */
  readonly signal: AbortSignal;
  /** Returns the current stall timeout, in ms; it may change during the stream. */
  readonly getStallTimeoutMs: () => number;
}

/**
 * Forwards a stream's events; throws `RemoteError` with failure `Timeout` when
 * the next event takes longer than the stall timeout. One interval timer covers
 * the whole stream, because a timer for each event costs more than the event.
 */
export async function* streamWithStallTimeout<T>(
  stream: StreamOptions<T>,
): AsyncGenerator<T> {
  const stalled = new AbortController();
  // Infinite while the consumer handles an event, so that a slow consumer is not a stall.
  let waitingSinceMs = performance.now();
  const timer = setInterval(() => {
    const silentMs = performance.now() - waitingSinceMs;
    if (silentMs > stream.getStallTimeoutMs()) stalled.abort();
  }, checkIntervalMs);
  const signal = AbortSignal.any([stream.signal, stalled.signal]);
  try {
    for await (const event of stream.open(signal)) {
      waitingSinceMs = Infinity;
      yield event;
      waitingSinceMs = performance.now();
    }
  } catch (error) {
    if (!stalled.signal.aborted) throw error;
    throw new RemoteError("Stream made no progress that its load explains", {
      failure: RemoteFailure.Timeout,
      effect: Effect.Unknown,
      cause: error,
    });
  } finally {
    clearInterval(timer);
  }
}
