/**
 * Checkpoints: the folded state is written into its own stream well before the
 * entries that it covers expire. A checkpoint holds the state at the position
 * that it names, so duplicates by two nodes are harmless and an old checkpoint
 * is never mistaken for a newer one.
 */
import { waitFor } from "../../shared/index.ts";
import type {
  LogPage,
  LogPosition,
  LogRange,
  LogRecord,
} from "../../types/index.ts";
import {
  type CheckedEntry,
  checkEntry,
  EntryVerdict,
  getOffset,
  getPosition,
  listRecords,
  type StreamState,
} from "./groups.ts";

const maxPageEntries = 1_000;
const checksPerInterval = 20;
/** Largest random extension of the interval, as a ratio; it spreads the checkpoints of the nodes. */
const maxJitterRatio = 0.25;

/** Builds the checkpoint record of a state. */
export type BuildCheckpoint<S> = (state: S) => LogRecord;

/** Reads the state of a checkpoint record; undefined on any other record. */
export type ReadCheckpoint<S> = (record: LogRecord) => S | undefined;

/** The newest checkpoint that this node has read. */
export interface LatestCheckpoint {
  /** Position before which it covers all records; undefined until one was read. */
  upTo?: LogPosition;
  /** Time of its entry by the log's clock, in ms since the epoch. */
  timeMs: number;
  /** Time at which it was read, in ms of the monotonic clock. */
  readAtMs: number;
}

/** Settings of `startCheckpoints`. */
export interface CheckpointOptions<S extends StreamState> {
  readonly getState: () => S;
  readonly append: (records: readonly LogRecord[]) => Promise<unknown>;
  readonly build?: BuildCheckpoint<S>;
  /** Whether the log is readable and the state has reached the stream's end. */
  readonly isReachable: () => boolean;
  readonly intervalMs: number;
  readonly maxEntries: number;
  readonly random: () => number;
  readonly signal: AbortSignal;
}

/** Starts the task that writes checkpoints when they are due. */
export function startCheckpoints<S extends StreamState>(
  options: CheckpointOptions<S>,
): LatestCheckpoint {
  const latest = { timeMs: Date.now(), readAtMs: performance.now() };
  if (options.build) void runCheckpoints(options, latest);
  return latest;
}

/** Updates the newest checkpoint from the checkpoints inside an entry that was read. */
export function recordCheckpoint(
  latest: LatestCheckpoint,
  entry: CheckedEntry,
): void {
  if (entry.verdict !== EntryVerdict.Counted) return;
  for (const { record } of listRecords(entry)) {
    const upTo = getUpTo(record);
    if (upTo === undefined || upTo < (latest.upTo ?? 0)) continue;
    latest.upTo = upTo;
    latest.timeMs = entry.timeMs;
    latest.readAtMs = performance.now();
  }
}

async function runCheckpoints<S extends StreamState>(
  options: CheckpointOptions<S>,
  latest: LatestCheckpoint,
): Promise<void> {
  const checkIntervalMs = options.intervalMs / checksPerInterval;
  let jitter = options.random() * maxJitterRatio;
  let lastWriteMs = -Infinity;
  while (!options.signal.aborted) {
    await waitFor(checkIntervalMs, options.signal);
    const sinceWriteMs = performance.now() - lastWriteMs;
    if (sinceWriteMs < options.intervalMs / 2) continue;
    if (!options.isReachable() || !isDue(options, latest, { jitter })) continue;
    lastWriteMs = performance.now();
    jitter = options.random() * maxJitterRatio;
    const record = options.build?.(options.getState());
    if (record) await options.append([record]).catch(() => undefined);
  }
}

function isDue<S extends StreamState>(
  options: CheckpointOptions<S>,
  latest: LatestCheckpoint,
  { jitter }: { readonly jitter: number },
): boolean {
  const { next } = options.getState();
  if (next === 0) return false;
  const entries = getOffset(next) - getOffset(latest.upTo ?? 0);
  if (entries >= options.maxEntries * (1 + jitter)) return true;
  const ageMs = Math.max(
    performance.now() - latest.readAtMs,
    Date.now() - latest.timeMs,
  );
  const share = latest.upTo === undefined ? jitter : 1 + jitter;
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
 * Finds the first checkpoint in the retained log whose later entries are all
 * retained. Without `readCheckpoint` it returns the empty state at the earliest
 * retained offset. Undefined when there is no such checkpoint.
 */
export async function findCheckpoint<S extends StreamState>(
  options: FindCheckpointOptions<S>,
): Promise<S | undefined> {
  const { signal, readCheckpoint, emptyState } = options;
  const rangePastEnd = { from: Number.MAX_SAFE_INTEGER, limit: 1, signal };
  const { earliest, end } = await options.read(rangePastEnd);
  if (!readCheckpoint) return buildStateAt(emptyState, earliest);
  let from = earliest;
  while (from < end) {
    const page = await options.read({ from, limit: maxPageEntries, signal });
    for (const entry of page.entries) {
      const checked = checkEntry(emptyState, entry);
      if (checked.verdict !== EntryVerdict.Counted) continue;
      const found = findStateInEntry(checked, { readCheckpoint, earliest });
      if (found) return found;
    }
    const last = page.entries.at(-1);
    if (!last) return undefined;
    from = last.offset + 1;
  }
  return undefined;
}

function findStateInEntry<S extends StreamState>(
  entry: CheckedEntry,
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
