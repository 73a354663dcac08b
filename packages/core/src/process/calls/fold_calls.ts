/**
 * Fold of the calls stream. Whether a record counts depends on earlier records
 * and on the log's own times alone, so every reader decides alike.
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

/** Time for which a key is remembered at most, by the log's clock, in ms. */
export const keyRetentionMs = 24 * 3_600_000;
/** Most calls with a recorded answer that are remembered. */
export const maxDoneCalls = 20_000;
/** Most characters of recorded answers that are remembered. */
export const maxAnswersLength = 4_000_000;
/** Most calls that may be undecided or unknown at a time. */
export const maxOpenCalls = 10_000;
/** How far ahead of the log's clock the time in a key may be, in ms. */
export const maxKeyLeadMs = 600_000;

const sweepIntervalMs = 600_000;
const forgottenShare = 1 / 16;

/** Folds one record; records that do not count change nothing but the position. */
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

/** Whether a key is so old that its call may have run and been forgotten. */
export function isKeyExpired(state: CallsState, key: string): boolean {
  const timeMs = parseKeyTimeMs(key);
  return timeMs !== undefined && timeMs <= state.horizonMs;
}

/** Whether a key is dated further ahead of the log than clocks may differ. */
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
      // Only the instance that may dispatch knows that it never will.
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
  return isFull ? expireOldest(settled) : settled;
}

function removeEntry(entries: CallEntries, call: CallEntry): CallEntries {
  const { [formatCallId(call)]: _, ...rest } = entries;
  return rest;
}

/** Forgets what is older than the retention, at intervals of the log's clock. */
function expireOld(state: CallsState): CallsState {
  if (state.newestMs < state.sweptMs + sweepIntervalMs) return state;
  const horizonMs = state.newestMs - keyRetentionMs;
  return expireUpTo({ ...state, sweptMs: state.newestMs }, horizonMs);
}

/** Forgets the oldest recorded answers to stay within the bound. */
function expireOldest(state: CallsState): CallsState {
  const times = state.done.flatMap((bucket) =>
    Object.values(bucket).map((call) => call.timeMs)
  ).toSorted((left, right) => left - right);
  const index = Math.ceil(times.length * forgottenShare) - 1;
  return expireUpTo(state, times[index] ?? state.horizonMs);
}

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
