/** Background task that settles orphaned calls on the calls stream. */
import {
  CallResult,
  type InstanceName,
  RecordKind,
  type ServiceAnswer,
} from "../../types/index.ts";
import { digestText, type LogEvent, waitFor } from "../../shared/index.ts";
import type { CallTracker } from "./call_tracker.ts";
import { formatCallId } from "./call_keys.ts";
import { type CallEntry, listOpenCalls } from "./calls_state.ts";
import { callEvents } from "./events.ts";

const sweepIntervalMs = 1_000;
const maxLookUpsPerSweep = 20;
const maxLookUpDelayMs = 60_000;

/** Options of `settleOrphanedCalls`. */
export interface SettleCallsOptions {
  readonly callTracker: CallTracker;
  /** Lists the instances that may still run, including this one. */
  readonly listInstances: () => readonly InstanceName[];
  /** Requests a call's answer from its service; undefined if the service returns none. */
  readonly lookUp: (call: CallEntry) => Promise<ServiceAnswer | undefined>;
  readonly logEvent?: LogEvent;
  readonly signal: AbortSignal;
}

/** Backoff of the look-ups of one call; `nextMs` is on the monotonic clock. */
interface LookUpBackoff {
  readonly nextMs: number;
  readonly delayMs: number;
}

/**
 * Gives up this instance's undispatched intents and settles calls of stopped
 * instances: with the answer of a look-up, or else as unknown. Retries unknown
 * calls with an exponential backoff. Runs until the signal aborts.
 */
export async function settleOrphanedCalls(
  options: SettleCallsOptions,
): Promise<void> {
  const backoffs = new Map<number, LookUpBackoff>();
  while (!options.signal.aborted) {
    options.callTracker.releaseUndispatched();
    const calls = listOrphanedCalls(options);
    const open = new Set(calls.map((call) => call.intent));
    for (const intent of backoffs.keys()) {
      if (!open.has(intent)) backoffs.delete(intent);
    }
    const due = calls.filter((call) =>
      (backoffs.get(call.intent)?.nextMs ?? 0) <= performance.now()
    );
    for (const call of due.slice(0, maxLookUpsPerSweep)) {
      await settleCall(call, options);
      backoffs.set(call.intent, scheduleLookUp(backoffs.get(call.intent)));
    }
    await waitFor(sweepIntervalMs, options.signal);
  }
}

function scheduleLookUp(previous: LookUpBackoff | undefined): LookUpBackoff {
  const delayMs = Math.min(
    (previous?.delayMs ?? sweepIntervalMs / 2) * 2,
    maxLookUpDelayMs,
  );
  return { nextMs: performance.now() + delayMs, delayMs };
}

/** Lists orphaned and unknown calls that this instance is chosen to settle. */
function listOrphanedCalls(options: SettleCallsOptions): readonly CallEntry[] {
  const instances = options.listInstances();
  const own = options.callTracker.instance;
  return listOpenCalls(options.callTracker.stream.getState()).filter((call) => {
    const isOwnerSettling = instances.includes(call.instance) && !call.result;
    return !isOwnerSettling && chooseSettler(call, instances) === own;
  });
}

/** Chooses one instance per call by rendezvous hashing: equal lists give equal choices. */
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
  options: SettleCallsOptions,
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
    await options.callTracker.record({
      ...settled,
      result: CallResult.Done,
      answer,
    });
    return;
  }
  if (call.result) return;
  options.logEvent?.(callEvents.resultUnknown, { intent });
  await options.callTracker.record({ ...settled, result: CallResult.Unknown });
}
