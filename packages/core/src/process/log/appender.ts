/**
 * Grouped appends to one stream. A group is confirmed by the entries read back
 * from the log, never by the answer of the append alone.
 */
import { randomUUID } from "node:crypto";
import { type LogEvent, waitFor } from "../../shared/index.ts";
import {
  Effect,
  type LogPosition,
  type LogRecord,
  maxGroupRecords,
  RemoteError,
  RemoteFailure,
} from "../../types/index.ts";
import { logEvents } from "./events.ts";
import {
  buildGroup,
  type CheckedEntry,
  encodeGroup,
  EntryVerdict,
  getOffset,
  getPosition,
  type StreamState,
} from "./groups.ts";

const minRetryDelayMs = 100;
const maxRetryDelayMs = 1_000;

/** Settings of an appender. */
export interface AppenderOptions {
  /** Name of this instance, written into its groups. */
  readonly writer: string;
  /** Appends one payload; rejects with `RemoteError`. */
  readonly appendPayload: (payload: string) => Promise<number>;
  /** Newest folded state; undefined until the stream has been read to its end. */
  readonly getState: () => StreamState | undefined;
  /** Whether the latest read of the log succeeded. */
  readonly isReachable: () => boolean;
  /** Time for which records are collected into one group, in ms. */
  readonly groupDelayMs: number;
  /** Time after which an unconfirmed append rejects, in ms. */
  readonly appendTimeoutMs: number;
  readonly logEvent: LogEvent;
}

/** Groups appends and resolves or rejects them from what is read back from the log. */
export interface Appender {
  /** Resolves to the records' positions once `settleEntry` gets the group as counted; rejects with `RemoteError`. */
  readonly append: (
    records: readonly LogRecord[],
  ) => Promise<readonly LogPosition[]>;
  /** Resolves or rejects the group of an entry that was folded. */
  readonly settleEntry: (entry: CheckedEntry) => void;
  /** Rejects groups that have expired at the position `next`. */
  readonly settleExpired: (next: LogPosition) => void;
  /** Settles groups after the state was replaced by a newer one and the entries between were not read. */
  readonly settleSkipped: (state: StreamState) => void;
  /** Rejects all pending appends. */
  readonly stop: () => void;
}

/** Records of one `append` call and its promise. */
interface GroupPart {
  readonly records: readonly LogRecord[];
  readonly resolve: (positions: readonly LogPosition[]) => void;
  readonly reject: (error: RemoteError) => void;
}

/** A group that is not yet known to be counted or lost. */
interface PendingGroup {
  readonly id: string;
  readonly payload: string;
  /** First offset at which the group no longer counts. */
  readonly expires: number;
  readonly parts: readonly GroupPart[];
  readonly settled: AbortController;
  /** Whether an attempt may have reached the log. */
  maybeSent: boolean;
  /** Offset returned by the log. */
  offset?: number;
}

/** Creates the appender of one stream. */
export function createAppender(options: AppenderOptions): Appender {
  const pending = new Map<string, PendingGroup>();
  const stopping = new AbortController();
  let waiting: GroupPart[] = [];
  let timer: NodeJS.Timeout | undefined;

  function append(
    records: readonly LogRecord[],
  ): Promise<readonly LogPosition[]> {
    if (records.length === 0) return Promise.resolve([]);
    if (records.length > maxGroupRecords) {
      return Promise.reject(
        createAbortedError("too many records for one group"),
      );
    }
    if (stopping.signal.aborted) {
      return Promise.reject(createAbortedError("the log client has stopped"));
    }
    return new Promise((resolve, reject) => {
      const count = waiting.reduce((sum, part) => sum + part.records.length, 0);
      if (count + records.length > maxGroupRecords) sendWaiting();
      waiting.push({ records, resolve, reject });
      timer ??= setTimeout(sendWaiting, options.groupDelayMs);
    });
  }

  function sendWaiting(): void {
    clearTimeout(timer);
    timer = undefined;
    const parts = waiting;
    waiting = [];
    const state = options.getState();
    if (!state) {
      const error = createAbortedError("the log has not been read to its end");
      return parts.forEach((part) => part.reject(error));
    }
    const group = createPendingGroup(parts, getOffset(state.next));
    pending.set(group.id, group);
    void sendGroup(group);
  }

  function createPendingGroup(
    parts: readonly GroupPart[],
    nextOffset: number,
  ): PendingGroup {
    const records = parts.flatMap((part) => part.records);
    const group = buildGroup(records, {
      id: randomUUID(),
      writer: options.writer,
      nextOffset,
    });
    return {
      id: group.id,
      payload: encodeGroup(group),
      expires: group.expires,
      parts,
      settled: new AbortController(),
      maybeSent: false,
    };
  }

  async function sendGroup(group: PendingGroup): Promise<void> {
    const timeout = setTimeout(
      () => rejectGroup(group, RemoteFailure.Timeout),
      options.appendTimeoutMs,
    );
    group.settled.signal.addEventListener(
      "abort",
      () => clearTimeout(timeout),
    );
    let retryDelayMs = minRetryDelayMs;
    while (!group.settled.signal.aborted) {
      if (await sendOnce(group)) return;
      await waitFor(retryDelayMs, group.settled.signal);
      retryDelayMs = Math.min(retryDelayMs * 2, maxRetryDelayMs);
    }
  }

  /** Sends a group once; true when no retry is needed because the log accepted it or the group was rejected. */
  async function sendOnce(group: PendingGroup): Promise<boolean> {
    const wasSent = group.maybeSent;
    group.maybeSent = true;
    try {
      group.offset = await options.appendPayload(group.payload);
      return true;
    } catch (error) {
      const remote = error instanceof RemoteError ? error : undefined;
      const isUnsent = remote?.effect === Effect.None && !wasSent;
      group.maybeSent = !isUnsent;
      if (!isUnsent) {
        options.logEvent(logEvents.appendRetried, { group: group.id });
        return false;
      }
      if (options.isReachable()) return false;
      rejectGroup(group, remote.failure);
      return true;
    }
  }

  function rejectGroup(group: PendingGroup, failure: RemoteFailure): void {
    const effect = group.maybeSent ? Effect.Unknown : Effect.None;
    settleGroup(group);
    const message = group.maybeSent
      ? "the log did not confirm the append"
      : "the append did not reach the log";
    const error = new RemoteError(message, { failure, effect });
    group.parts.forEach((part) => part.reject(error));
  }

  function resolveGroup(group: PendingGroup, offset: number): void {
    settleGroup(group);
    let index = 0;
    for (const part of group.parts) {
      part.resolve(part.records.map(() => getPosition(offset, index++)));
    }
  }

  function settleGroup(group: PendingGroup): void {
    pending.delete(group.id);
    group.settled.abort();
  }

  /** Rejects a group that expired, so that no reader counts any copy of it. */
  function expireGroup(group: PendingGroup): void {
    group.maybeSent = false;
    rejectGroup(group, RemoteFailure.Expired);
  }

  function settleEntry(entry: CheckedEntry): void {
    const group = entry.group && pending.get(entry.group.id);
    if (!group) return;
    if (entry.verdict === EntryVerdict.Counted) {
      return resolveGroup(group, entry.offset);
    }
    if (entry.verdict === EntryVerdict.Late) expireGroup(group);
  }

  function settleExpired(next: LogPosition): void {
    const offset = getOffset(next);
    for (const group of [...pending.values()]) {
      if (offset >= group.expires) expireGroup(group);
    }
  }

  function settleSkipped(state: StreamState): void {
    const offset = getOffset(state.next);
    for (const group of [...pending.values()]) {
      const isCounted = state.groups?.includes(group.id);
      if (isCounted && group.offset !== undefined) {
        resolveGroup(group, group.offset);
      } else if (isCounted || offset >= group.expires) {
        // The group may have been counted in entries that were not read.
        rejectGroup(group, RemoteFailure.Expired);
      }
    }
  }

  function stop(): void {
    stopping.abort();
    clearTimeout(timer);
    const error = createAbortedError("the log client has stopped");
    waiting.forEach((part) => part.reject(error));
    waiting = [];
    for (const group of [...pending.values()]) {
      rejectGroup(group, RemoteFailure.Aborted);
    }
  }

  return { append, settleEntry, settleExpired, settleSkipped, stop };
}

function createAbortedError(message: string): RemoteError {
  return new RemoteError(message, {
    failure: RemoteFailure.Aborted,
    effect: Effect.None,
  });
}
