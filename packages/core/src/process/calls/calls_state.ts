/** Folded state of the calls stream: one entry per caller and key. */
import type {
  CallerName,
  CallResult,
  InstanceName,
  LogPosition,
  ServiceAnswer,
  ServiceName,
} from "../../types/index.ts";
import { type CallId, formatCallId } from "./call_keys.ts";

/** Entry of a keyed call in the folded state. */
export interface CallEntry {
  readonly caller: CallerName;
  readonly key: string;
  readonly service: ServiceName;
  readonly bodyDigest: string;
  /** The only instance that may dispatch the call. */
  readonly instance: InstanceName;
  /** Log position of the intent that claimed the key. */
  readonly intent: LogPosition;
  /** Log time of the intent or the time in the key, whichever is later, in ms since the epoch. */
  readonly timeMs: number;
  /** Absent until a result is recorded. */
  readonly result?: CallResult.Done | CallResult.Unknown;
  readonly answer?: ServiceAnswer;
}

/** Entries by `formatCallId`. */
export type CallEntries = Readonly<Record<string, CallEntry>>;

/** State of the calls stream at one position. Plain data, so that a checkpoint can hold it. */
export interface CallsState {
  /** First position that the state does not cover. */
  readonly next: LogPosition;
  /** Latest log time of the folded records, in ms since the epoch. */
  readonly newestMs: number;
  /** Entries of keys dated up to this time may have been removed, in ms since the epoch. */
  readonly horizonMs: number;
  /** Log time of the last removal of expired entries, in ms since the epoch. */
  readonly sweptMs: number;
  /** Calls without a result or with an unknown one. */
  readonly open: CallEntries;
  /** Calls with a recorded answer, in buckets by `computeBucket`. */
  readonly done: readonly CallEntries[];
  readonly doneCount: number;
  /** Total length of the recorded answers, in characters. */
  readonly answerLength: number;
  /** Ids of folded groups, oldest first; maintained by the follower of the stream. */
  readonly groups?: readonly string[];
}

/** Number of buckets; to add an entry, a fold copies one bucket instead of all entries. */
export const bucketCount = 512;

/** Folded state before the first record of the stream. */
export const emptyCallsState: CallsState = {
  next: 0,
  newestMs: 0,
  horizonMs: 0,
  sweptMs: 0,
  open: {},
  done: Array.from({ length: bucketCount }, () => ({})),
  doneCount: 0,
  answerLength: 0,
};

/** Finds the entry of a call; undefined if the state has none for its key. */
export function findCall(
  state: CallsState,
  id: CallId,
): CallEntry | undefined {
  const name = formatCallId(id);
  const open = getOwn(state.open, name);
  return open ?? getOwn(state.done[computeBucket(name)] ?? {}, name);
}

/** Length of a call's recorded answer, in characters; 0 without an answer. */
export function getAnswerLength(call: CallEntry): number {
  if (!call.answer) return 0;
  return call.answer.body.length + JSON.stringify(call.answer.headers).length;
}

/** Lists calls without a result or with an unknown one, by intent position. */
export function listOpenCalls(state: CallsState): readonly CallEntry[] {
  return Object.values(state.open).toSorted((left, right) =>
    left.intent - right.intent
  );
}

/** Hashes the name of a call, as `formatCallId` returns it, to a bucket index. */
export function computeBucket(name: string): number {
  let hash = 0;
  for (let index = 0; index < name.length; index++) {
    hash = (Math.imul(hash, 31) + name.charCodeAt(index)) >>> 0;
  }
  return hash % bucketCount;
}

function getOwn(entries: CallEntries, name: string): CallEntry | undefined {
  return Object.hasOwn(entries, name) ? entries[name] : undefined;
}
