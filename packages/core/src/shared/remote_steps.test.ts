/** Simulated remote steps: a test runs each pending step and chooses its fault. */
import {
  Effect,
  type FollowedStream,
  type LogRecord,
  type PositionedRecord,
  RemoteError,
  RemoteFailure,
} from "../types/index.ts";

/** Fault that a test injects into a remote step. */
export enum StepFault {
  None = "none",
  /** Fails before any effect; the sender receives the failure. */
  Refused = "refused",
  /** Takes effect, but the answer is lost. */
  AnswerLost = "answer lost",
  /** The answer is lost, and the effect is delayed. */
  Delayed = "delayed",
  CrashBefore = "crash before",
  CrashAfter = "crash after",
  /** The sender crashes, and the effect is delayed. */
  CrashDelayed = "crash delayed",
}

/** A sent remote step that a test has not run yet. */
export interface PendingStep {
  readonly kind: string;
  readonly instance: string;
  /** Runs the step with the given fault. */
  readonly run: (fault: StepFault) => void;
}

/** State that the remote steps of a test share. */
export interface StepWorld {
  readonly pending: PendingStep[];
  /** Delayed effects that have not run yet. */
  readonly late: DelayedEffect[];
  readonly log: PositionedRecord[];
  /** Names of instances that crashed. */
  readonly crashed: Set<string>;
}

/** An effect that runs after its step has failed. */
export interface DelayedEffect {
  readonly sinceMs: number;
  readonly run: () => void;
}

/** Creates a state without steps and with an empty log. */
export function createStepWorld(): StepWorld {
  return { pending: [], late: [], log: [], crashed: new Set() };
}

/** Sends a remote step; settles once a test has run it, never if the instance crashes. */
export function sendStep<T>(
  world: StepWorld,
  step: {
    readonly kind: string;
    readonly instance: string;
    readonly effect: () => T;
  },
): Promise<T> {
  return new Promise((resolve, reject) => {
    const { kind, instance } = step;
    if (world.crashed.has(instance)) return;
    const fail = (effect: Effect): void =>
      reject(
        new RemoteError("step failed", {
          failure: RemoteFailure.Timeout,
          effect,
        }),
      );
    const run = (fault: StepFault): void => {
      if (world.crashed.has(instance)) return;
      if (fault === StepFault.None) {
        return void Promise.resolve().then(step.effect).then(resolve, reject);
      }
      if (fault === StepFault.Refused) return fail(Effect.None);
      const isLate = [StepFault.Delayed, StepFault.CrashDelayed];
      if (isLate.includes(fault)) {
        const late = (): void => runDetached(step.effect);
        world.late.push({ sinceMs: performance.now(), run: late });
      }
      const isDone = [StepFault.AnswerLost, StepFault.CrashAfter];
      if (isDone.includes(fault)) runDetached(step.effect);
      const isAnswered = [StepFault.AnswerLost, StepFault.Delayed];
      if (isAnswered.includes(fault)) return fail(Effect.Unknown);
      world.crashed.add(instance);
    };
    world.pending.push({ kind, instance, run });
  });
}

/** Runs an effect and discards its result or error. */
function runDetached(effect: () => unknown): void {
  try {
    effect();
  } catch {
    // The endpoint refused it.
  }
}

/** An instance's view of the shared log, which a test advances. */
export interface StepReader<S> {
  readonly stream: FollowedStream<S>;
  /** Folds at most `limit` new records of the log. */
  readonly readLog: (limit?: number) => void;
}

/** Creates an instance's reader, which starts at `emptyState`. */
export function createReader<S extends { readonly next: number }>(
  world: StepWorld,
  options: {
    readonly instance: string;
    readonly emptyState: S;
    readonly fold: (state: S, entry: PositionedRecord) => S;
  },
): StepReader<S> {
  const { instance, fold } = options;
  let state = options.emptyState;
  let waiting: { position: number; resolve: () => void }[] = [];
  const listeners = new Set<(state: S) => void>();

  function readLog(limit = Infinity): void {
    const entries = world.log.slice(state.next, state.next + limit);
    for (const entry of entries) state = fold(state, entry);
    const reached = waiting.filter((one) => one.position < state.next);
    waiting = waiting.filter((one) => one.position >= state.next);
    for (const one of reached) one.resolve();
    if (entries.length === 0) return;
    for (const listener of listeners) listener(state);
  }

  async function append(records: readonly LogRecord[]): Promise<number[]> {
    const positions = await sendStep(world, {
      kind: "append",
      instance,
      effect: () =>
        records.map((record) => addRecord(world, instance, { record })),
    });
    const position = positions.at(-1) ?? 0;
    if (position >= state.next) {
      await new Promise<void>((resolve) => waiting.push({ position, resolve }));
    }
    return positions;
  }

  const stream = {
    getState: () => state,
    getAgeMs: () => 0,
    append,
    onChange: (listener: (state: S) => void) => {
      listeners.add(listener);
      return () => listeners.delete(listener);
    },
  };
  return { stream, readLog };
}

/** Appends one record to the shared log and returns its position. */
export function addRecord(
  world: StepWorld,
  writer: string,
  options: { readonly record: LogRecord },
): number {
  const position = world.log.length;
  const timeMs = Date.now();
  world.log.push({ position, writer, timeMs, record: options.record });
  return position;
}

/** Resolves once pending microtasks have run. */
export function flushMicrotasks(): Promise<void> {
  return new Promise((resolve) => setImmediate(resolve));
}
