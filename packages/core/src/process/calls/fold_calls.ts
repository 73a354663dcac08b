/**
 * Fold of the calls stream. Whether a record takes effect depends only on
 * earlier records and log times, so all readers compute the same state.
 */
import {
  CallResult,
  type PositionedRecord,
  RecordKind,
  type RecordOf,
} from "../../types/index.ts";
import { formatCallId, parseKeyTimeMs } from "./call_keys.ts";
import {
  type CallEntries,
  type CallEntry,
  type CallsState,
  computeBucket,
  findCall,
  getAnswerLength,
} from "./calls_state.ts";

/** Maximum time for which the entry of a key is kept, by log time, in ms. */
export const keyRetentionMs = 24 * 3_600_000;
/** Maximum number of calls with a recorded answer in the state. */
export const maxDoneCalls = 20_000;
/** Maximum total length of the recorded answers in the state, in characters. */
export const maxAnswersLength = 4_000_000;
/** Maximum number of calls without a result or with an unknown one. */
export const maxOpenCalls = 10_000;
/** Maximum time by which a key may be dated ahead of the log, in ms. */
export const maxKeyLeadMs = 600_000;

const sweepIntervalMs = 600_000;
/** Share of the recorded answers that is evicted when a limit is exceeded. */
const evictedShare = 1 / 16;

/** Folds one record; a record without effect advances only the position and the log time. */
export function foldCalls(
  state: CallsState,
  entry: PositionedRecord,
): CallsState {
  if (entry.position < state.next) return state;
  const advanced = {
    ...state,
    next: entry.position + 1,
    newestMs: Math.max(state.newestMs, entry.timeMs),
  };
  const { record } = entry;
  if (record.kind === RecordKind.CallIntent) {
    return foldIntent(expireOld(advanced), { entry, record });
  }
  if (record.kind === RecordKind.CallSettled) {
    return foldSettled(advanced, { entry, record });
  }
  return advanced;
}

/** Whether a key is so old that its call may have run and its entry been removed. */
export function isKeyExpired(state: CallsState, key: string): boolean {
  const timeMs = parseKeyTimeMs(key);
  return timeMs !== undefined && timeMs <= state.horizonMs;
}

/** Whether a key is dated more than `maxKeyLeadMs` ahead of the log. */
export function isKeyAhead(state: CallsState, key: string): boolean {
  const timeMs = parseKeyTimeMs(key);
  return timeMs !== undefined && timeMs > state.newestMs + maxKeyLeadMs;
}

function foldIntent(
  state: CallsState,
  intent: {
    readonly entry: PositionedRecord;
    readonly record: RecordOf<RecordKind.CallIntent>;
  },
): CallsState {
  const { entry, record } = intent;
  if (record.instance !== entry.writer) return state;
  if (findCall(state, record)) return state;
  if (isKeyExpired(state, record.key)) return state;
  if (isKeyAhead(state, record.key)) return state;
  if (Object.keys(state.open).length >= maxOpenCalls) return state;
  const call: CallEntry = {
    caller: record.caller,
    key: record.key,
    service: record.service,
    bodyDigest: record.bodyDigest,
    instance: record.instance,
    intent: entry.position,
    timeMs: Math.max(state.newestMs, parseKeyTimeMs(record.key) ?? 0),
  };
  return setOpen(state, call);
}

function foldSettled(
  state: CallsState,
  settled: {
    readonly entry: PositionedRecord;
    readonly record: RecordOf<RecordKind.CallSettled>;
  },
): CallsState {
  const { entry, record } = settled;
  const call = state.open[formatCallId(record)];
  if (call?.intent !== record.intent) return state;
  switch (record.result) {
    case CallResult.Done:
      return setDone(state, {
        ...call,
        result: CallResult.Done,
        answer: record.answer,
      });
    case CallResult.Unknown:
      return setOpen(state, { ...call, result: CallResult.Unknown });
    case CallResult.GivenUp:
      // Other instances cannot know that this intent will never be dispatched.
      if (entry.writer !== call.instance) return state;
      return { ...state, open: removeEntry(state.open, call) };
  }
}

function setOpen(state: CallsState, call: CallEntry): CallsState {
  return { ...state, open: { ...state.open, [formatCallId(call)]: call } };
}

function setDone(state: CallsState, call: CallEntry): CallsState {
  const name = formatCallId(call);
  const index = computeBucket(name);
  const bucket = { ...state.done[index], [name]: call };
  const settled = {
    ...state,
    open: removeEntry(state.open, call),
    done: state.done.with(index, bucket),
    doneCount: state.doneCount + 1,
    answerLength: state.answerLength + getAnswerLength(call),
  };
  const isFull = settled.doneCount > maxDoneCalls ||
    settled.answerLength > maxAnswersLength;
  return isFull ? evictOldest(settled) : settled;
}

function removeEntry(entries: CallEntries, call: CallEntry): CallEntries {
  const { [formatCallId(call)]: _, ...rest } = entries;
  return rest;
}

/** Removes entries older than the retention, once per sweep interval of log time. */
function expireOld(state: CallsState): CallsState {
  if (state.newestMs < state.sweptMs + sweepIntervalMs) return state;
  const horizonMs = state.newestMs - keyRetentionMs;
  return expireUpTo({ ...state, sweptMs: state.newestMs }, horizonMs);
}

/** Removes the oldest recorded answers to stay within the limits. */
function evictOldest(state: CallsState): CallsState {
  const times = state.done.flatMap((bucket) =>
    Object.values(bucket).map((call) => call.timeMs)
  ).toSorted((left, right) => left - right);
  const index = Math.ceil(times.length * evictedShare) - 1;
  return expireUpTo(state, times[index] ?? state.horizonMs);
}

/** Removes done calls dated up to `timeMs`, and open calls older than the retention. */
function expireUpTo(state: CallsState, timeMs: number): CallsState {
  const horizonMs = Math.max(state.horizonMs, timeMs);
  const keptOpen = Object.entries(state.open).filter(([_, call]) =>
    call.timeMs > state.newestMs - keyRetentionMs
  );
  const done = state.done.map((bucket) => {
    const kept = Object.entries(bucket).filter(([_, call]) =>
      call.timeMs > horizonMs
    );
    return kept.length === Object.keys(bucket).length
      ? bucket
      : Object.fromEntries(kept);
  });
  const remembered = done.flatMap((bucket) => Object.values(bucket));
  return {
    ...state,
    horizonMs,
    open: Object.fromEntries(keptOpen),
    done,
    doneCount: remembered.length,
    answerLength: remembered.reduce(
      (sum, call) => sum + getAnswerLength(call),
      0,
    ),
  };
}
