/** A log in memory for tests, with refusals and lost answers. */
import { randomUUID } from "node:crypto";
import {
  buildGroup,
  Effect,
  encodeGroup,
  type LogEntry,
  type LogRecord,
  type LogService,
  RemoteError,
  RemoteFailure,
  StreamName,
  waitFor,
} from "@trefoildoor/core";

/** Time of the first entry, in ms since the epoch; later ones follow by a second. */
const firstTimeMs = Date.UTC(2026, 0, 1);
const pollMs = 5;

/** A log with the faults that tests ask for. */
export interface MemoryLog extends LogService {
  /** Appends one group as another writer. */
  readonly appendRecords: (
    stream: StreamName,
    records: readonly LogRecord[],
    options?: { readonly writer?: string },
  ) => Promise<void>;
  readonly refuseReads: () => void;
  /** Forgets all entries of a stream below an offset, as retention does. */
  readonly expire: (stream: StreamName, before: number) => void;
  /** The next append takes effect and is answered by an error, once. */
  readonly loseNextAnswer: () => void;
  /** Runs an action before the next append takes effect. */
  readonly onNextAppend: (action: () => Promise<void>) => void;
}

/** Creates an empty log. */
export function createMemoryLog(): MemoryLog {
  const streams = new Map<StreamName, LogEntry[]>();
  const edges = new Map<StreamName, number>();
  let isRefusing = false;
  let losesAnswer = false;
  let action: (() => Promise<void>) | undefined;

  function getEntries(stream: StreamName): LogEntry[] {
    const entries = streams.get(stream) ?? [];
    streams.set(stream, entries);
    return entries;
  }

  function add(stream: StreamName, payload: string): number {
    const entries = getEntries(stream);
    const offset = entries.length;
    entries.push({ offset, timeMs: firstTimeMs + offset * 1_000, payload });
    return offset;
  }

  const append: LogService["append"] = async (stream, payload) => {
    const before = action;
    action = undefined;
    await before?.();
    const offset = add(stream, payload);
    if (!losesAnswer) return offset;
    losesAnswer = false;
    throw createError("answer lost", Effect.Unknown);
  };

  const read: LogService["read"] = async (stream, range) => {
    const end = performance.now() + (range.waitMs ?? 0);
    while (!isRefusing && getEntries(stream).length <= range.from) {
      if (performance.now() >= end || range.signal?.aborted) break;
      await waitFor(pollMs, range.signal);
    }
    if (isRefusing) throw createError("cannot be reached", Effect.None);
    const earliest = edges.get(stream) ?? 0;
    if (range.from < earliest) throw createExpired();
    const entries = getEntries(stream);
    return {
      entries: entries.slice(range.from, range.from + range.limit),
      end: entries.length,
      earliest,
    };
  };

  return {
    append,
    read,
    appendRecords: (stream, records, { writer = "other" } = {}) => {
      const nextOffset = getEntries(stream).length;
      const group = buildGroup(records, {
        id: randomUUID(),
        writer,
        nextOffset,
      });
      add(stream, encodeGroup(group));
      return Promise.resolve();
    },
    expire: (stream, before) => {
      edges.set(stream, before);
    },
    refuseReads: () => {
      isRefusing = true;
    },
    loseNextAnswer: () => {
      losesAnswer = true;
    },
    onNextAppend: (given) => {
      action = given;
    },
  };
}

function createError(message: string, effect: Effect): RemoteError {
  const failure = RemoteFailure.Unreachable;
  return new RemoteError(message, { failure, effect });
}

function createExpired(): RemoteError {
  const failure = RemoteFailure.Expired;
  return new RemoteError("no longer kept", { failure, effect: Effect.None });
}
