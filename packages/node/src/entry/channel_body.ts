/** Body of a response, read as a stream. */
import type { Dispatcher } from "undici";

/** Unread bytes of a response above which reading from the connection is paused. */
const maxBufferedBytes = 128 * 1_024;

/** The body of one response while it arrives. */
export interface Body extends AsyncIterable<Buffer> {
  /** Pauses and resumes the connection. */
  controller?: Dispatcher.DispatchController;
  onAbandoned: () => void;
  readonly add: (chunk: Buffer) => void;
  readonly end: () => void;
  readonly fail: (error: Error) => void;
}

/** Creates the body of one response: an iterator for one reader, with back-pressure; `closeChannel` is called if the reader stops early. */
export function createBody(closeChannel: () => void): Body {
  const chunks: Buffer[] = [];
  let bufferedBytes = 0;
  let done = false;
  let error: Error | undefined;
  let wake: (() => void) | undefined;

  function notifyReader(): void {
    wake?.();
    wake = undefined;
  }

  async function readNext(): Promise<IteratorResult<Buffer, undefined>> {
    while (true) {
      const chunk = chunks.shift();
      if (chunk) {
        bufferedBytes -= chunk.length;
        if (bufferedBytes <= maxBufferedBytes) body.controller?.resume();
        return { done: false, value: chunk };
      }
      if (error) throw error;
      if (done) return { done: true, value: undefined };
      await new Promise<void>((resolve) => wake = resolve);
    }
  }

  const iterator: AsyncIterator<Buffer, undefined> = {
    next: readNext,
    return: () => {
      if (!done && !error) body.onAbandoned();
      return Promise.resolve({ done: true, value: undefined });
    },
  };
  const body: Body = {
    onAbandoned: closeChannel,
    add(chunk): void {
      chunks.push(chunk);
      bufferedBytes += chunk.length;
      if (bufferedBytes > maxBufferedBytes) body.controller?.pause();
      notifyReader();
    },
    end: () => {
      done = true;
      notifyReader();
    },
    fail: (failure) => {
      error = failure;
      notifyReader();
    },
    [Symbol.asyncIterator]: () => iterator,
  };
  return body;
}
