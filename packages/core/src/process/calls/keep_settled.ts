/** Task that settles what instances left behind on the calls stream. */
import {
  CallResult,
  type InstanceName,
  RecordKind,
  type ServiceAnswer,
} from "../../types/index.ts";
import { digestText, type LogEvent, waitFor } from "../../shared/index.ts";
import type { CallBook } from "./call_book.ts";
import { formatCallId } from "./call_keys.ts";
import { type CallEntry, listOpenCalls } from "./calls_state.ts";
import { callEvents } from "./events.ts";

const sweepPauseMs = 1_000;
const maxLookUpsPerSweep = 20;
const maxLookUpPauseMs = 60_000;

/** What the task needs. */
export interface KeepSettledOptions {
  readonly book: CallBook;
  /** Names of instances that may still run, this one included. */
  readonly listInstances: () => readonly InstanceName[];
  /** Answer of a call by its service; undefined when that says nothing. */
  readonly lookUp: (call: CallEntry) => Promise<ServiceAnswer | undefined>;
  readonly logEvent?: LogEvent;
  readonly signal: AbortSignal;
}

/** When a call is looked up next, on the monotonic clock. */
interface LookUpPlan {
  readonly nextMs: number;
  readonly pauseMs: number;
}

/**
 * Gives up this instance's own left intents, and settles those of instances
 * that are gone: by look-up, else as unknown. Runs until the signal aborts.
 */
export async function keepCallsSettled(
  options: KeepSettledOptions,
): Promise<void> {
  const plans = new Map<number, LookUpPlan>();
  while (!options.signal.aborted) {
    options.book.releaseUndispatched();
    const calls = listLeftCalls(options);
    const open = new Set(calls.map((call) => call.intent));
    for (const intent of plans.keys()) {
      if (!open.has(intent)) plans.delete(intent);
    }
    const due = calls.filter((call) =>
      (plans.get(call.intent)?.nextMs ?? 0) <= performance.now()
    );
    for (const call of due.slice(0, maxLookUpsPerSweep)) {
      await settleCall(call, options);
      plans.set(call.intent, planLookUp(plans.get(call.intent)));
    }
    await waitFor(sweepPauseMs, options.signal);
  }
}

function planLookUp(plan: LookUpPlan | undefined): LookUpPlan {
  const pauseMs = Math.min(
    (plan?.pauseMs ?? sweepPauseMs / 2) * 2,
    maxLookUpPauseMs,
  );
  return { nextMs: performance.now() + pauseMs, pauseMs };
}

/** Calls that no living instance settles and that fall to this one. */
function listLeftCalls(options: KeepSettledOptions): readonly CallEntry[] {
  const instances = options.listInstances();
  const own = options.book.instance;
  return listOpenCalls(options.book.stream.getState()).filter((call) => {
    const settlesItself = instances.includes(call.instance) && !call.result;
    return !settlesItself && chooseSettler(call, instances) === own;
  });
}

/** Chooses one instance per call, the same on every node with the same list. */
function chooseSettler(
  call: CallEntry,
  instances: readonly InstanceName[],
): InstanceName | undefined {
  const name = formatCallId(call);
  const ranked = instances.map((instance) => ({
    instance,
    rank: digestText(`${instance}\n${name}`),
  })).toSorted((left, right) => left.rank < right.rank ? -1 : 1);
  return ranked[0]?.instance;
}

async function settleCall(
  call: CallEntry,
  options: KeepSettledOptions,
): Promise<void> {
  const { caller, key, intent } = call;
  const settled = {
    kind: RecordKind.CallSettled,
    caller,
    key,
    intent,
  } as const;
  const answer = await options.lookUp(call);
  if (answer) {
    options.logEvent?.(callEvents.settledByLookUp, { intent });
    await options.book.record({ ...settled, result: CallResult.Done, answer });
    return;
  }
  if (call.result) return;
  options.logEvent?.(callEvents.resultUnknown, { intent });
  await options.book.record({ ...settled, result: CallResult.Unknown });
}
