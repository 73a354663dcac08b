/**
 * Local state of one instance about its keyed calls: the calls that it handles,
 * the intents that it has dispatched, and results that are not yet in the log.
 */
import {
  CallResult,
  type FollowedStream,
  type InstanceName,
  type LogPosition,
  RecordKind,
  type RecordOf,
} from "../../types/index.ts";
import { type LogEvent, waitFor } from "../../shared/index.ts";
import { type CallId, formatCallId } from "./call_keys.ts";
import type { CallEntry, CallsState } from "./calls_state.ts";
import { callEvents } from "./events.ts";

const retryDelayMs = 500;

/** Log record with the result of a call. */
export type CallSettled = RecordOf<RecordKind.CallSettled>;

/** Options of `createCallTracker`. */
export interface CallTrackerOptions {
  readonly stream: FollowedStream<CallsState>;
  readonly instance: InstanceName;
  readonly logEvent?: LogEvent;
}

/** Tracks the keyed calls of one instance. */
export interface CallTracker {
  readonly stream: FollowedStream<CallsState>;
  readonly instance: InstanceName;
  /** Marks a call as handled by this instance; false if it already is. */
  readonly claim: (id: CallId) => boolean;
  /** Ends the handling of a call and gives up intents that were not dispatched. */
  readonly release: (id: CallId) => void;
  /** Records an intent as dispatched; called before the call is sent to its service. */
  readonly recordDispatch: (intent: LogPosition) => void;
  /** Returns a result whose append to the log is not confirmed yet. */
  readonly findUnrecorded: (intent: LogPosition) => CallSettled | undefined;
  /** Appends a result, with retries; resolves once it is in the log or retries have ended. */
  readonly record: (settled: CallSettled) => Promise<void>;
  /** Whether an intent belongs to this instance, which has neither dispatched nor settled it. */
  readonly isUndispatched: (call: CallEntry) => boolean;
  /** Records as given up this instance's undispatched intents that no running call handles. */
  readonly releaseUndispatched: () => void;
  /** Waits for the pending appends of results; called at shutdown. */
  readonly drain: () => Promise<void>;
}

/** Starts without calls; `signal` ends the retries of appends. */
export function createCallTracker(
  options: CallTrackerOptions,
  signal?: AbortSignal,
): CallTracker {
  const active = new Set<string>();
  const dispatched = new Set<LogPosition>();
  const unrecorded = new Map<LogPosition, CallSettled>();
  const writes = new Map<LogPosition, Promise<void>>();

  function record(settled: CallSettled): Promise<void> {
    const pending = unrecorded.get(settled.intent);
    if (pending?.result !== CallResult.Done) {
      unrecorded.set(settled.intent, settled);
    }
    const running = writes.get(settled.intent);
    if (running) return running;
    const write = appendUntilRecorded(settled.intent);
    writes.set(settled.intent, write);
    return write;
  }

  async function appendUntilRecorded(intent: LogPosition): Promise<void> {
    while (!signal?.aborted) {
      const settled = unrecorded.get(intent);
      if (!settled) break;
      try {
        await options.stream.append([settled]);
        if (unrecorded.get(intent) !== settled) continue;
        unrecorded.delete(intent);
        if (settled.result === CallResult.Done) dispatched.delete(intent);
      } catch {
        options.logEvent?.(callEvents.resultUnrecorded, { intent });
        await waitFor(retryDelayMs, signal);
      }
    }
    writes.delete(intent);
  }

  function isUndispatched(call: CallEntry): boolean {
    return call.instance === options.instance &&
      !dispatched.has(call.intent) && !unrecorded.has(call.intent);
  }

  function releaseUndispatched(): void {
    for (const call of Object.values(options.stream.getState().open)) {
      if (active.has(formatCallId(call)) || !isUndispatched(call)) continue;
      void record({
        kind: RecordKind.CallSettled,
        caller: call.caller,
        key: call.key,
        intent: call.intent,
        result: CallResult.GivenUp,
      });
    }
  }

  return {
    stream: options.stream,
    instance: options.instance,
    claim: (id) => {
      const name = formatCallId(id);
      if (active.has(name)) return false;
      active.add(name);
      return true;
    },
    release: (id) => {
      active.delete(formatCallId(id));
      releaseUndispatched();
    },
    recordDispatch: (intent) => {
      dispatched.add(intent);
    },
    findUnrecorded: (intent) => unrecorded.get(intent),
    record,
    isUndispatched,
    releaseUndispatched,
    drain: async () => {
      await Promise.all(writes.values());
    },
  };
}
