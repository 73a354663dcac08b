/**
 * Until when an instance that stops answers calls. Each call that it has taken
 * gets its answer before the process ends, and a call that comes after the
 * notice is begun only if the rest of the time covers it.
 */

/** Bound of the calls of one instance. */
export interface StopBound {
  /** From now on, calls end after `leftMs`. */
  readonly start: (leftMs: number) => void;
  /** From now on, calls need their whole time. */
  readonly endNotice: () => void;
  /** Whether a call that may last for `ms` is begun. */
  readonly mayRun: (ms: number) => boolean;
  /** Time that calls have left, in ms; `Infinity` unless the instance stops. */
  readonly getLeftMs: () => number;
  /** Calls back when calls have to end; returns a function that withdraws the callback. */
  readonly onEnd: (callback: () => void) => () => void;
}

/** Creates the bound of an instance that does not stop yet. */
export function createStopBound(): StopBound {
  const callbacks = new Set<() => void>();
  let endsMs = Infinity;
  let noticeEnded = false;
  const getLeftMs = (): number => Math.max(endsMs - performance.now(), 0);
  return {
    start(leftMs): void {
      endsMs = performance.now() + leftMs;
      setTimeout(() => {
        for (const callback of [...callbacks]) callback();
      }, leftMs).unref();
    },
    endNotice(): void {
      noticeEnded = true;
    },
    mayRun: (ms) => getLeftMs() > (noticeEnded ? ms : 0),
    getLeftMs,
    onEnd(callback): () => void {
      callbacks.add(callback);
      return () => void callbacks.delete(callback);
    },
  };
}
