/**
 * Grouped appends to one stream. A group is settled by what the reader sees in
 * the log, never by the answer of the append alone.
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
  encodeGroup,
  EntryVerdict,
  getOffset,
  getPosition,
  type JudgedEntry,
  type StreamState,
} from "./groups.ts";

const firstRetryMs = 100;
const longestRetryMs = 1_000;

/** Settings of an appender. */
export interface AppenderOptions {
  /** Name of this instance. */
  readonly writer: string;
  /** Appends one payload; rejects with `RemoteError`. */
  readonly appendPayload: (payload: string) => Promise<number>;
  /** Newest folded state; undefined before the stream was read to its end. */
  readonly getState: () => StreamState | undefined;
  /** Whether the newest read of the log succeeded. */
  readonly isReachable: () => boolean;
  /** Time for which records are collected into one group, in ms. */
  readonly groupDelayMs: number;
  /** Time after which an unsettled append is given up, in ms. */
  readonly appendTimeoutMs: number;
  readonly logEvent: LogEvent;
}

/** Grouped appends and their settlement. */
export interface Appender {
  /** Resolves to positions once `settleEntry` saw the group counted. */
  readonly append: (
    records: readonly LogRecord[],
  ) => Promise<readonly LogPosition[]>;
  /** Settles the group of an entry that was folded. */
  readonly settleEntry: (entry: JudgedEntry) => void;
  /** Settles groups that can no longer be counted before `next`. */
  readonly settleExpired: (next: LogPosition) => void;
  /** Settles groups after the state jumped ahead without reading. */
  readonly settleJump: (state: StreamState) => void;
  /** Rejects all that is unsettled. */
  readonly stop: () => void;
}

/** Records of one caller inside a group. */
interface Part {
  readonly records: readonly LogRecord[];
  readonly resolve: (positions: readonly LogPosition[]) => void;
  readonly reject: (error: RemoteError) => void;
}

/** A group on its way. */
interface PendingGroup {
  readonly id: string;
  readonly payload: string;
  /** First offset at which the group no longer counts. */
  readonly expires: number;
  readonly parts: readonly Part[];
  readonly settled: AbortController;
  /** Some attempt may have reached the log. */
  maybeSent: boolean;
  /** Offset that the log answered. */
  offset?: number;
}

/** Creates the appender of one stream. */
export function createAppender(options: AppenderOptions): Appender {
  const pending = new Map<string, PendingGroup>();
  const stopping = new AbortController();
  let waiting: Part[] = [];
  let timer: NodeJS.Timeout | undefined;

  function append(
    records: readonly LogRecord[],
  ): Promise<readonly LogPosition[]> {
    if (records.length === 0) return Promise.resolve([]);
    if (records.length > maxGroupRecords) {
      return Promise.reject(refuseAppend("too many records for one group"));
    }
    if (stopping.signal.aborted) {
      return Promise.reject(refuseAppend("the log client has stopped"));
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
      const error = refuseAppend("the log was not read to its end");
      return parts.forEach((part) => part.reject(error));
    }
    const group = openGroup(parts, getOffset(state.next));
    pending.set(group.id, group);
    void sendGroup(group);
  }

  function openGroup(
    parts: readonly Part[],
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
    const deadline = setTimeout(
      () => refuseGroup(group, RemoteFailure.Timeout),
      options.appendTimeoutMs,
    );
    group.settled.signal.addEventListener(
      "abort",
      () => clearTimeout(deadline),
    );
    let retryMs = firstRetryMs;
    while (!group.settled.signal.aborted) {
      if (await sendOnce(group)) return;
      await waitFor(retryMs, group.settled.signal);
      retryMs = Math.min(retryMs * 2, longestRetryMs);
    }
  }

  /** Sends a group once; true when the log has it or it needs no more tries. */
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
      refuseGroup(group, remote.failure);
      return true;
    }
  }

  function refuseGroup(group: PendingGroup, failure: RemoteFailure): void {
    const effect = group.maybeSent ? Effect.Unknown : Effect.None;
    settleGroup(group);
    const message = group.maybeSent
      ? "the log did not confirm the append"
      : "the append did not reach the log";
    const error = new RemoteError(message, { failure, effect });
    group.parts.forEach((part) => part.reject(error));
  }

  function answerGroup(group: PendingGroup, offset: number): void {
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

  /** Rejects a group of which no reader will ever count a copy. */
  function expireGroup(group: PendingGroup): void {
    group.maybeSent = false;
    refuseGroup(group, RemoteFailure.Expired);
  }

  function settleEntry(entry: JudgedEntry): void {
    const group = entry.group && pending.get(entry.group.id);
    if (!group) return;
    if (entry.verdict === EntryVerdict.Counted) {
      return answerGroup(group, entry.offset);
    }
    if (entry.verdict === EntryVerdict.Late) expireGroup(group);
  }

  function settleExpired(next: LogPosition): void {
    const offset = getOffset(next);
    for (const group of [...pending.values()]) {
      if (offset >= group.expires) expireGroup(group);
    }
  }

  function settleJump(state: StreamState): void {
    const offset = getOffset(state.next);
    for (const group of [...pending.values()]) {
      const isCounted = state.groups?.includes(group.id);
      if (isCounted && group.offset !== undefined) {
        answerGroup(group, group.offset);
      } else if (isCounted || offset >= group.expires) {
        // The group may have counted in the part that was not read.
        refuseGroup(group, RemoteFailure.Expired);
      }
    }
  }

  function stop(): void {
    stopping.abort();
    clearTimeout(timer);
    const error = refuseAppend("the log client has stopped");
    waiting.forEach((part) => part.reject(error));
    waiting = [];
    for (const group of [...pending.values()]) {
      refuseGroup(group, RemoteFailure.Aborted);
    }
  }

  return { append, settleEntry, settleExpired, settleJump, stop };
}

function refuseAppend(message: string): RemoteError {
  return new RemoteError(message, {
    failure: RemoteFailure.Aborted,
    effect: Effect.None,
  });
}
