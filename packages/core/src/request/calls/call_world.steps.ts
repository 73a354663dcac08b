/** Instances over one log and one booking desk, with every remote step in the test's hand. */
import {
  type BundleService,
  Effect,
  type FollowedStream,
  type LogRecord,
  type PositionedRecord,
  RemoteError,
  RemoteFailure,
  type ServiceAnswer,
  type ServiceRequest,
} from "../../types/index.ts";
import {
  type CallsState,
  createCallBook,
  emptyCallsState,
  foldCalls,
  keepCallsSettled,
} from "../../process/calls/index.ts";
import type { CallContext } from "./call_types.ts";
import { createCallLookUp } from "./look_up.ts";

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

/** Kinds of remote steps. */
export type StepKind = "append" | "ping" | "call" | "look up";

/** A remote step that waits for its turn. */
export interface PendingStep {
  readonly kind: StepKind;
  readonly instance: string;
  /** Carries the step out. */
  readonly run: (fault: StepFault) => void;
}

/** One instance of the world. */
export interface CallInstance {
  readonly name: string;
  readonly context: CallContext;
  /** Folds what the log holds, up to `limit` records. */
  readonly readLog: (limit?: number) => void;
  crashed: boolean;
}

/** One run of a call at the desk. */
export interface DeskRun {
  readonly key: string;
  /** Which request of a caller the desk ran. */
  readonly request: string;
}

/** The world of one scenario. */
export interface CallWorldState {
  readonly pending: PendingStep[];
  /** Effects that come later. */
  readonly late: (() => void)[];
  readonly log: PositionedRecord[];
  readonly runs: DeskRun[];
  readonly instances: CallInstance[];
  readonly service: BundleService;
  /** Instances that others believe to run; all that did not crash unless set. */
  listInstances: () => readonly string[];
  readonly addInstance: (name: string) => CallInstance;
  readonly stop: () => void;
}

/** Creates a world whose desk may offer a look-up by key. */
export function createCallWorld(lookUpByKey: boolean): CallWorldState {
  const stop = new AbortController();
  const world: CallWorldState = {
    pending: [],
    late: [],
    log: [],
    runs: [],
    instances: [],
    service: {
      name: "desk",
      endpoints: [{ name: "desk-1", failure_domain: "a", address: "" }],
      idempotent_methods: ["GET"],
      allow_missing_key: false,
      look_up_by_key: lookUpByKey,
    },
    listInstances: () =>
      world.instances.filter((one) => !one.crashed).map((one) => one.name),
    addInstance: (name) => {
      const instance = buildInstance(name, world, { signal: stop.signal });
      world.instances.push(instance);
      return instance;
    },
    stop: () => stop.abort(),
  };
  return world;
}

function buildInstance(
  name: string,
  world: CallWorldState,
  options: { readonly signal: AbortSignal },
): CallInstance {
  const reader = createReader(name, world);
  const book = createCallBook(
    { stream: reader.stream, instance: name },
    options.signal,
  );
  const send = <T>(kind: StepKind, effect: () => T): Promise<T> =>
    sendStep(world, { kind, instance: name, effect });
  const context: CallContext = {
    book,
    rankEndpoints: (service) => service.endpoints,
    openClient: () => ({
      ping: () => send("ping", () => {}),
      call: (request) => send("call", () => runAtDesk(world, request)),
      lookUp: (key) => send("look up", () => findRun(world, key)),
    }),
  };
  void keepCallsSettled({
    book,
    listInstances: () => world.listInstances(),
    lookUp: createCallLookUp(context, () => world.service),
    signal: options.signal,
  });
  return { name, context, readLog: reader.readLog, crashed: false };
}

function createReader(name: string, world: CallWorldState): {
  readonly stream: FollowedStream<CallsState>;
  readonly readLog: (limit?: number) => void;
} {
  let state = emptyCallsState;
  let waiting: { position: number; resolve: () => void }[] = [];

  function readLog(limit = Infinity): void {
    const entries = world.log.slice(state.next, state.next + limit);
    for (const entry of entries) state = foldCalls(state, entry);
    const reached = waiting.filter((one) => one.position < state.next);
    waiting = waiting.filter((one) => one.position >= state.next);
    for (const one of reached) one.resolve();
  }

  async function append(records: readonly LogRecord[]): Promise<number[]> {
    const positions = await sendStep(world, {
      kind: "append",
      instance: name,
      effect: () => records.map((record) => addRecord(world, name, { record })),
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
    onChange: () => () => {},
  };
  return { stream, readLog };
}

function addRecord(
  world: CallWorldState,
  writer: string,
  options: { readonly record: LogRecord },
): number {
  const position = world.log.length;
  world.log.push({
    position,
    writer,
    timeMs: Date.now(),
    record: options.record,
  });
  return position;
}

function runAtDesk(
  world: CallWorldState,
  request: ServiceRequest,
): ServiceAnswer {
  world.runs.push({
    key: request.key ?? "",
    request: request.headers.request ?? "",
  });
  return { status: 201, headers: {}, body: `booking ${world.runs.length}` };
}

function findRun(
  world: CallWorldState,
  key: string,
): ServiceAnswer | undefined {
  const index = world.runs.findIndex((run) => run.key === key);
  if (index < 0) return undefined;
  return { status: 201, headers: {}, body: `booking ${index + 1}` };
}

function sendStep<T>(
  world: CallWorldState,
  step: {
    readonly kind: StepKind;
    readonly instance: string;
    readonly effect: () => T;
  },
): Promise<T> {
  return new Promise((resolve, reject) => {
    const sender = world.instances.find((one) => one.name === step.instance);
    if (sender?.crashed) return;
    const fail = (effect: Effect): void =>
      reject(
        new RemoteError("step failed", {
          failure: RemoteFailure.Timeout,
          effect,
        }),
      );
    const crash = (): void => {
      if (sender) sender.crashed = true;
    };
    const run = (fault: StepFault): void => {
      if (sender?.crashed) return;
      if (fault === StepFault.None) return resolve(step.effect());
      if (fault === StepFault.Refused) return fail(Effect.None);
      const isLate = [StepFault.Delayed, StepFault.CrashDelayed];
      if (isLate.includes(fault)) world.late.push(() => void step.effect());
      const isDone = [StepFault.AnswerLost, StepFault.CrashAfter];
      if (isDone.includes(fault)) step.effect();
      const isAnswered = [StepFault.AnswerLost, StepFault.Delayed];
      if (isAnswered.includes(fault)) return fail(Effect.Unknown);
      crash();
    };
    world.pending.push({ kind: step.kind, instance: step.instance, run });
  });
}

/** Lets all continuations run that wait for no step and no clock. */
export function settleMicrotasks(): Promise<void> {
  return new Promise((resolve) => setImmediate(resolve));
}
