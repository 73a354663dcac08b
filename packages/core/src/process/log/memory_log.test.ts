/** An in-memory log for tests that simulates the faults of a remote log. */
import { waitFor } from "../../shared/index.ts";
import {
  Effect,
  type LogEntry,
  type LogPage,
  type LogRange,
  type LogService,
  RemoteError,
  RemoteFailure,
  type StreamName,
} from "../../types/index.ts";

/** Fault that applies to appends from now on. */
export enum AppendFault {
  None = "none",
  /** The entry is written; its answer is lost. */
  LostAnswer = "lost_answer",
  /** The entry is lost; the writer gets a timeout, as with a lost answer. */
  LostEntry = "lost_entry",
  /** The entry is held back until `release`; its answer is lost. */
  Held = "held",
}

/** An in-memory log with controls for tests; `log` is its interface for the code under test. */
export interface MemoryLog {
  readonly log: LogService;
  readonly entries: (stream: StreamName) => readonly LogEntry[];
  readonly write: (stream: StreamName, payload: string) => number;
  /** Drops entries before an offset. */
  readonly expire: (stream: StreamName, before: number) => void;
  /** Writes the entries that were held back. */
  readonly release: () => void;
  fault: AppendFault;
  isDown: boolean;
  /** Maximum number of entries in a page. */
  pageLimit: number;
}

const pollIntervalMs = 10;
const lostAnswerDelayMs = 50;

/** Creates an empty log. */
export function createMemoryLog(): MemoryLog {
  const streams = new Map<StreamName, LogEntry[]>();
  const earliestOffsets = new Map<StreamName, number>();
  const held: (() => void)[] = [];

  function listEntries(stream: StreamName): LogEntry[] {
    const entries = streams.get(stream) ?? [];
    streams.set(stream, entries);
    return entries;
  }

  function appendEntry(stream: StreamName, payload: string): number {
    const entries = listEntries(stream);
    const offset = entries.length;
    entries.push({ offset, timeMs: Date.now(), payload });
    return offset;
  }

  async function append(stream: StreamName, payload: string): Promise<number> {
    if (memory.isDown) refuse(RemoteFailure.Unreachable, Effect.None);
    const { fault } = memory;
    if (fault === AppendFault.None) return appendEntry(stream, payload);
    if (fault === AppendFault.LostAnswer) appendEntry(stream, payload);
    if (fault === AppendFault.Held) {
      held.push(() => appendEntry(stream, payload));
    }
    await waitFor(lostAnswerDelayMs);
    return refuse(RemoteFailure.Timeout, Effect.Unknown);
  }

  async function read(stream: StreamName, range: LogRange): Promise<LogPage> {
    const earliest = earliestOffsets.get(stream) ?? 0;
    const endMs = performance.now() + (range.waitMs ?? 0);
    for (;;) {
      if (memory.isDown) refuse(RemoteFailure.Unreachable, Effect.None);
      if (range.from < earliest) refuse(RemoteFailure.Expired, Effect.None);
      const all = listEntries(stream);
      const limit = Math.min(range.limit, memory.pageLimit);
      const entries = all.slice(range.from, range.from + limit);
      const isOver = performance.now() >= endMs || range.signal?.aborted;
      if (entries.length > 0 || isOver) {
        return { entries, end: all.length, earliest };
      }
      await waitFor(pollIntervalMs, range.signal);
    }
  }

  const memory: MemoryLog = {
    log: { append, read },
    entries: listEntries,
    write: appendEntry,
    expire: (stream, before) => void earliestOffsets.set(stream, before),
    release: () => held.splice(0).forEach((writeHeld) => writeHeld()),
    fault: AppendFault.None,
    isDown: false,
    pageLimit: 1_000,
  };
  return memory;
}

function refuse(failure: RemoteFailure, effect: Effect): never {
  throw new RemoteError("the log in memory failed", { failure, effect });
}
