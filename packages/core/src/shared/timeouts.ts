/** Calls with a timeout of their own, and timers that judge others. */

/** Bounds of a call. */
export interface TimeoutOptions {
  readonly timeoutMs: number;
  /** Aborts the call earlier. */
  readonly signal?: AbortSignal;
}

/**
 * Runs a call with a signal that aborts after `timeoutMs`, with a
 * `TimeoutError`, or with `signal`. A combination by `AbortSignal.any` would
 * not do: one whose timeout is held by nothing else may never abort.
 */
export async function runWithTimeout<Result>(
  run: (signal: AbortSignal) => Promise<Result>,
  { timeoutMs, signal }: TimeoutOptions,
): Promise<Result> {
  const controller = new AbortController();
  const abort = (): void => controller.abort(signal?.reason);
  const timer = startPolledTimer(
    () => controller.abort(new DOMException("call timed out", "TimeoutError")),
    timeoutMs,
  );
  if (signal?.aborted) abort();
  else signal?.addEventListener("abort", abort, { once: true });
  try {
    return await run(controller.signal);
  } finally {
    timer.cancel();
    signal?.removeEventListener("abort", abort);
  }
}

/** A timer that gives up on what others send. */
export interface PolledTimer {
  /** Starts the time anew. */
  readonly restart: () => void;
  readonly cancel: () => void;
}

/**
 * Calls back after `ms`, once the event loop has read all connections after
 * that. A process that was paused for longer than a timeout thus first reads
 * what has arrived in time.
 */
export function startPolledTimer(
  callback: () => void,
  ms: number,
): PolledTimer {
  let immediate: NodeJS.Immediate | undefined;
  // Immediates run after connections are read, timers before.
  const timer = setTimeout(() => immediate = setImmediate(callback), ms);
  return {
    restart(): void {
      clearImmediate(immediate);
      timer.refresh();
    },
    cancel(): void {
      clearTimeout(timer);
      clearImmediate(immediate);
    },
  };
}

/** Resolves when the operation has settled, or after `ms` as a polled timer counts them; never rejects. */
export async function waitAtMost(
  operation: Promise<unknown>,
  ms: number,
): Promise<void> {
  await new Promise<void>((resolve) => {
    const timer = startPolledTimer(resolve, ms);
    const end = (): void => {
      timer.cancel();
      resolve();
    };
    operation.then(end, end);
  });
}
