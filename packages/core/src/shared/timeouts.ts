/** Calls with a timeout of their own. */

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
  const timer = setTimeout(
    () => controller.abort(new DOMException("call timed out", "TimeoutError")),
    timeoutMs,
  );
  if (signal?.aborted) abort();
  else signal?.addEventListener("abort", abort, { once: true });
  try {
    return await run(controller.signal);
  } finally {
    clearTimeout(timer);
    signal?.removeEventListener("abort", abort);
  }
}
