/**
 * Checkpoints: the folded state written into its own stream well before the
 * entries behind it expire. A checkpoint is the state at the position it
 * names, so copies by two nodes are harmless and an old one never looks newer.
 */
import { waitFor } from "../../shared/index.ts";
import type {
  LogPage,
  LogPosition,
  LogRange,
  LogRecord,
} from "../../types/index.ts";
import {
  checkEntry,
  EntryVerdict,
  getOffset,
  getPosition,
  type JudgedEntry,
  listRecords,
  type StreamState,
} from "./groups.ts";

const scanLimit = 1_000;
const checksPerInterval = 20;
/** Share of the interval over which nodes spread their checkpoints. */
const jitterShare = 0.25;

/** Builds the checkpoint record of a state. */
export type BuildCheckpoint<S> = (state: S) => LogRecord;

/** Reads the state of a checkpoint record; undefined on any other record. */
export type ReadCheckpoint<S> = (record: LogRecord) => S | undefined;

/** The newest checkpoint that this node has read. */
export interface CheckpointWatch {
  /** Position up to which it stands; undefined before the first. */
  upTo?: LogPosition;
  /** Time of its entry by the log's clock, in ms since the epoch. */
  timeMs: number;
  /** Time at which it was read, on the monotonic clock in ms. */
  notedMs: number;
}

/** Settings of `keepCheckpoints`. */
export interface KeepCheckpointsOptions<S extends StreamState> {
  readonly getState: () => S;
  readonly append: (records: readonly LogRecord[]) => Promise<unknown>;
  readonly build?: BuildCheckpoint<S>;
  /** Whether the state was read to the stream's end. */
  readonly isReachable: () => boolean;
  readonly intervalMs: number;
  readonly maxEntries: number;
  readonly random: () => number;
  readonly signal: AbortSignal;
}

/** Starts the task that writes checkpoints when they are due. */
export function keepCheckpoints<S extends StreamState>(
  options: KeepCheckpointsOptions<S>,
): CheckpointWatch {
  const watch = { timeMs: Date.now(), notedMs: performance.now() };
  if (options.build) void runCheckpoints(options, watch);
  return watch;
}

/** Notes the checkpoints inside an entry that was read. */
export function noteCheckpoint(
  watch: CheckpointWatch,
  entry: JudgedEntry,
): void {
  if (entry.verdict !== EntryVerdict.Counted) return;
  for (const { record } of listRecords(entry)) {
    const upTo = getUpTo(record);
    if (upTo === undefined || upTo < (watch.upTo ?? 0)) continue;
    watch.upTo = upTo;
    watch.timeMs = entry.timeMs;
    watch.notedMs = performance.now();
  }
}

async function runCheckpoints<S extends StreamState>(
  options: KeepCheckpointsOptions<S>,
  watch: CheckpointWatch,
): Promise<void> {
  const pauseMs = options.intervalMs / checksPerInterval;
  let jitter = options.random() * jitterShare;
  let writtenMs = -Infinity;
  while (!options.signal.aborted) {
    await waitFor(pauseMs, options.signal);
    const sinceWrittenMs = performance.now() - writtenMs;
    if (sinceWrittenMs < options.intervalMs / 2) continue;
    if (!options.isReachable() || !isDue(options, watch, { jitter })) continue;
    writtenMs = performance.now();
    jitter = options.random() * jitterShare;
    const record = options.build?.(options.getState());
    if (record) await options.append([record]).catch(() => undefined);
  }
}

function isDue<S extends StreamState>(
  options: KeepCheckpointsOptions<S>,
  watch: CheckpointWatch,
  { jitter }: { readonly jitter: number },
): boolean {
  const { next } = options.getState();
  if (next === 0) return false;
  const entries = getOffset(next) - getOffset(watch.upTo ?? 0);
  if (entries >= options.maxEntries * (1 + jitter)) return true;
  const ageMs = Math.max(
    performance.now() - watch.notedMs,
    Date.now() - watch.timeMs,
  );
  const share = watch.upTo === undefined ? jitter : 1 + jitter;
  return ageMs >= options.intervalMs * share;
}

/** Settings of `findCheckpoint`. */
export interface FindCheckpointOptions<S extends StreamState> {
  readonly read: (range: LogRange) => Promise<LogPage>;
  readonly emptyState: S;
  readonly readCheckpoint?: ReadCheckpoint<S>;
  readonly signal: AbortSignal;
}

/**
 * Finds the first state in the retained log from which every later entry is
 * still there. Without `readCheckpoint` it is the empty state at the edge.
 */
export async function findCheckpoint<S extends StreamState>(
  options: FindCheckpointOptions<S>,
): Promise<S | undefined> {
  const { signal, readCheckpoint, emptyState } = options;
  const beyond = { from: Number.MAX_SAFE_INTEGER, limit: 1, signal };
  const { earliest, end } = await options.read(beyond);
  if (!readCheckpoint) return buildStateAt(emptyState, earliest);
  let from = earliest;
  while (from < end) {
    const page = await options.read({ from, limit: scanLimit, signal });
    for (const entry of page.entries) {
      const judged = checkEntry(emptyState, entry);
      if (judged.verdict !== EntryVerdict.Counted) continue;
      const found = readEntry(judged, { readCheckpoint, earliest });
      if (found) return found;
    }
    const last = page.entries.at(-1);
    if (!last) return undefined;
    from = last.offset + 1;
  }
  return undefined;
}

function readEntry<S extends StreamState>(
  entry: JudgedEntry,
  options: {
    readonly readCheckpoint: ReadCheckpoint<S>;
    readonly earliest: number;
  },
): S | undefined {
  for (const { record } of listRecords(entry)) {
    const upTo = getUpTo(record);
    if (upTo === undefined || getOffset(upTo) < options.earliest) continue;
    const state = options.readCheckpoint(record);
    if (state && state.next === upTo) return state;
  }
  return undefined;
}

function getUpTo(record: LogRecord): LogPosition | undefined {
  return "upTo" in record ? record.upTo : undefined;
}

function buildStateAt<S extends StreamState>(state: S, offset: number): S {
  return { ...state, next: getPosition(offset) };
}
