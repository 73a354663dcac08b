/** Bounds on waiting for the next event of a stream. */
import { Effect, RemoteError, RemoteFailure } from "../../types/index.ts";

/** Time between two looks at a stream's progress, in ms. */
const checkIntervalMs = 100;

/** A stream and how long it may be silent. */
export interface BoundedStream<T> {
  /** Opens the stream; it must end with a rejection when the signal aborts. */
  readonly open: (signal: AbortSignal) => AsyncIterable<T>;
  /** Aborts when nobody wants the stream any more. */
  readonly signal: AbortSignal;
  /** Longest silence that is explained at this moment, in ms. */
  readonly getBoundMs: () => number;
}

/**
 * Passes a stream's events on and rejects with a timeout once it is silent for
 * longer than its bound. One timer serves the whole stream, because a timer for
 * each event costs more than the event.
 */
export async function* streamWithProgress<T>(
  stream: BoundedStream<T>,
): AsyncGenerator<T> {
  const stalled = new AbortController();
  // Infinite while the consumer has an event: its time is not the stream's.
  let waitingSinceMs = performance.now();
  const timer = setInterval(() => {
    const silentMs = performance.now() - waitingSinceMs;
    if (silentMs > stream.getBoundMs()) stalled.abort();
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
