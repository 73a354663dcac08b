/**
 * What one instance remembers of its own calls: which it handles now, which it
 * has dispatched, and results that are not yet in the log.
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

const retryPauseMs = 500;

/** Result of a call as its record holds it. */
export type CallSettled = RecordOf<RecordKind.CallSettled>;

/** What a call book needs. */
export interface CallBookOptions {
  readonly stream: FollowedStream<CallsState>;
  readonly instance: InstanceName;
  readonly logEvent?: LogEvent;
}

/** Memory of one instance about its calls. */
export interface CallBook {
  readonly stream: FollowedStream<CallsState>;
  readonly instance: InstanceName;
  /** Marks a call as handled here; false when it already is. */
  readonly claim: (id: CallId) => boolean;
  /** Ends the handling of a call. */
  readonly release: (id: CallId) => void;
  /** Notes that a call is about to be dispatched under an intent. */
  readonly recordDispatch: (intent: LogPosition) => void;
  /** Result that waits for its record. */
  readonly findUnrecorded: (intent: LogPosition) => CallSettled | undefined;
  /** Records a result; resolves once it is in the log, retrying until then. */
  readonly record: (settled: CallSettled) => Promise<void>;
  /** Whether an intent is this instance's own and was neither dispatched nor settled here. */
  readonly isUndispatched: (call: CallEntry) => boolean;
  /** Gives up own intents that nothing here will dispatch. */
  readonly releaseUndispatched: () => void;
  /** Records results until all are in the log; for shutdown. */
  readonly drain: () => Promise<void>;
}

/** Creates the memory of an instance about its calls; `signal` ends retries. */
export function createCallBook(
  options: CallBookOptions,
  signal?: AbortSignal,
): CallBook {
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
        await waitFor(retryPauseMs, signal);
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
