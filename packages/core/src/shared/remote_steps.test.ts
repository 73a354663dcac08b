/** Remote steps in the hand of a test: each waits for its turn and may fail. */
import {
  Effect,
  type FollowedStream,
  type LogRecord,
  type PositionedRecord,
  RemoteError,
  RemoteFailure,
} from "../types/index.ts";

/** What happens to one remote step. */
export enum StepFault {
  None = "none",
  /** Fails before any effect, and the sender knows. */
  Refused = "refused",
  /** Takes effect; the answer is lost. */
  AnswerLost = "answer lost",
  /** The answer is lost; the effect comes later. */
  Delayed = "delayed",
  CrashBefore = "crash before",
  CrashAfter = "crash after",
  /** The sender crashes; the effect comes later. */
  CrashDelayed = "crash delayed",
}

/** A remote step that waits for its turn. */
export interface PendingStep {
  readonly kind: string;
  readonly instance: string;
  /** Carries the step out. */
  readonly run: (fault: StepFault) => void;
}

/** What remote steps change. */
export interface StepWorld {
  readonly pending: PendingStep[];
  /** Effects that come later. */
  readonly late: LateEffect[];
  readonly log: PositionedRecord[];
  /** Names of instances that crashed. */
  readonly crashed: Set<string>;
}

/** An effect that comes later. */
export interface LateEffect {
  readonly sinceMs: number;
  readonly run: () => void;
}

/** Creates a world without steps. */
export function createStepWorld(): StepWorld {
  return { pending: [], late: [], log: [], crashed: new Set() };
}

/** Sends a remote step; it resolves once a test has carried it out. */
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
        const late = (): void => runUnheard(step.effect);
        world.late.push({ sinceMs: performance.now(), run: late });
      }
      const isDone = [StepFault.AnswerLost, StepFault.CrashAfter];
      if (isDone.includes(fault)) runUnheard(step.effect);
      const isAnswered = [StepFault.AnswerLost, StepFault.Delayed];
      if (isAnswered.includes(fault)) return fail(Effect.Unknown);
      world.crashed.add(instance);
    };
    world.pending.push({ kind, instance, run });
  });
}

/** Carries out an effect whose end nobody hears. */
function runUnheard(effect: () => unknown): void {
  try {
    effect();
  } catch {
    // The endpoint refused it.
  }
}

/** A reader of the log of a world. */
export interface StepReader<S> {
  readonly stream: FollowedStream<S>;
  /** Folds what the log holds, up to `limit` records. */
  readonly readLog: (limit?: number) => void;
}

/** Creates an instance's reader of a world's log. */
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

/** Adds one record to the log of a world and returns its position. */
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

/** Lets all continuations run that wait for no step and no clock. */
export function settleMicrotasks(): Promise<void> {
  return new Promise((resolve) => setImmediate(resolve));
}
