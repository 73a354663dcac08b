/** Bounds on waiting for the next event of a stream. */
import { Effect, RemoteError, RemoteFailure } from "../../types/index.ts";

/**
 * Passes a stream's events on and rejects with a timeout when the next one
 * takes longer than `getBoundMs()` tells. The source is closed on every exit.
 */
export async function* withProgressBound<T>(
  source: AsyncIterable<T>,
  getBoundMs: () => number,
): AsyncGenerator<T> {
  const iterator = source[Symbol.asyncIterator]();
  let stalled = false;
  try {
    while (true) {
      const result = await waitForNext(iterator, getBoundMs()).catch(
        (error: unknown) => {
          stalled = isStall(error);
          throw error;
        },
      );
      if (result.done) return;
      yield result.value;
    }
  } finally {
    // A stalled source would never answer its return call.
    const closing = iterator.return?.();
    if (stalled) closing?.catch(() => undefined);
    else await closing;
  }
}

function isStall(error: unknown): boolean {
  return error instanceof RemoteError &&
    error.failure === RemoteFailure.Timeout;
}

async function waitForNext<T>(
  iterator: AsyncIterator<T>,
  boundMs: number,
): Promise<IteratorResult<T>> {
  let timer: ReturnType<typeof setTimeout> | undefined;
  const stall = new Promise<never>((_resolve, reject) => {
    timer = setTimeout(() => {
      reject(
        new RemoteError(`No progress for ${boundMs} ms`, {
          failure: RemoteFailure.Timeout,
          effect: Effect.Unknown,
        }),
      );
    }, boundMs);
  });
  try {
    return await Promise.race([iterator.next(), stall]);
  } finally {
    clearTimeout(timer);
  }
}
