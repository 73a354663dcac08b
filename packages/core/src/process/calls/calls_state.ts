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

/** What is known of a call that runs at most once. */
export interface CallEntry {
  readonly caller: CallerName;
  readonly key: string;
  readonly service: ServiceName;
  readonly bodyDigest: string;
  /** Instance that alone may dispatch the call. */
  readonly instance: InstanceName;
  /** Position of the winning intent. */
  readonly intent: LogPosition;
  /** Later of the log's time of the intent and the time in the key, in ms since the epoch. */
  readonly timeMs: number;
  /** Absent while the call is undecided. */
  readonly result?: CallResult.Done | CallResult.Unknown;
  readonly answer?: ServiceAnswer;
}

/** Entries by `formatCallId`. */
export type CallEntries = Readonly<Record<string, CallEntry>>;

/** State of the calls stream at one position. Plain data, so that a checkpoint can hold it. */
export interface CallsState {
  /** First position that the state does not cover. */
  readonly next: LogPosition;
  /** Newest time of the log that was read, in ms since the epoch. */
  readonly newestMs: number;
  /** Keys dated up to this time may have been forgotten, in ms since the epoch. */
  readonly horizonMs: number;
  /** Time of the last search for entries to forget, in ms since the epoch. */
  readonly sweptMs: number;
  /** Calls that are undecided or whose result is unknown. */
  readonly open: CallEntries;
  /** Calls with a recorded answer, spread over buckets. */
  readonly done: readonly CallEntries[];
  readonly doneCount: number;
  /** Characters of the recorded answers. */
  readonly answerLength: number;
  /** Ids of folded groups, oldest first; kept by the follower of the stream. */
  readonly groups?: readonly string[];
}

/** Number of buckets; a fold copies one bucket, not all entries. */
export const bucketCount = 512;

/** State before the first record. */
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

/** Finds what is known of a call; undefined when its key is free. */
export function findCall(
  state: CallsState,
  id: CallId,
): CallEntry | undefined {
  const name = formatCallId(id);
  const open = getOwn(state.open, name);
  return open ?? getOwn(state.done[computeBucket(name)] ?? {}, name);
}

/** Characters of a recorded answer; 0 without one. */
export function getAnswerLength(call: CallEntry): number {
  if (!call.answer) return 0;
  return call.answer.body.length + JSON.stringify(call.answer.headers).length;
}

/** Lists calls whose result is undecided or unknown, oldest first. */
export function listOpenCalls(state: CallsState): readonly CallEntry[] {
  return Object.values(state.open).toSorted((left, right) =>
    left.intent - right.intent
  );
}

/** Bucket of a call's name. */
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
