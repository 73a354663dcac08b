/**
 * Follows one stream of the platform's log: a single task reads to the
 * stream's end, folds every entry and settles this node's own appends.
 */
import { type LogEvent, logEvent, waitFor } from "../../shared/index.ts";
import {
  Effect,
  type FollowedStream,
  type LogPage,
  type LogService,
  type PositionedRecord,
  RemoteError,
  RemoteFailure,
  type StreamName,
} from "../../types/index.ts";
import { createAppender } from "./appender.ts";
import {
  type BuildCheckpoint,
  findCheckpoint,
  keepCheckpoints,
  noteCheckpoint,
  type ReadCheckpoint,
} from "./checkpoints.ts";
import { logEvents } from "./events.ts";
import {
  checkEntry,
  EntryVerdict,
  foldEntry,
  getOffset,
  getPosition,
  type StreamState,
} from "./groups.ts";

const readLimit = 1_000;
const defaultWaitMs = 1_000;
const defaultGroupDelayMs = 20;
const defaultAppendTimeoutMs = 5_000;
const defaultCheckpointIntervalMs = 60_000;
const defaultCheckpointEntries = 10_000;
const firstBackOffMs = 100;
const longestBackOffMs = 2_000;

/** Settings of a follower. */
export interface FollowStreamOptions<S extends StreamState> {
  readonly stream: StreamName;
  readonly log: LogService;
  /** Name of this instance, written into its groups. */
  readonly writer: string;
  /** State before the first entry. */
  readonly emptyState: S;
  /** Folds one record; must depend on its arguments alone. */
  readonly fold: (state: S, record: PositionedRecord) => S;
  /** Builds a checkpoint record; a stream without one starts at the retention edge. */
  readonly buildCheckpoint?: BuildCheckpoint<S>;
  /** Reads the state of a checkpoint record; undefined on any other record. */
  readonly readCheckpoint?: ReadCheckpoint<S>;
  /** Asks peers for their state while the log cannot be read at start. */
  readonly initial?: () => Promise<S | undefined>;
  /** Longest wait of one read for a first entry, in ms. */
  readonly waitMs?: number;
  readonly groupDelayMs?: number;
  readonly appendTimeoutMs?: number;
  /** Longest age of the newest checkpoint, in ms: under a quarter of the log's retention. */
  readonly checkpointIntervalMs?: number;
  /** Most entries after the newest checkpoint. */
  readonly checkpointEntries?: number;
  /** Random number in [0, 1), for jitter. */
  readonly random?: () => number;
  readonly logEvent?: LogEvent;
}

/** A followed stream with what its owner needs. */
export interface StreamFollower<S> extends FollowedStream<S> {
  /** Whether the state may be used: the log or a peer has given it. */
  readonly isStarted: () => boolean;
  /** Resolves once the state may be used. */
  readonly waitUntilStarted: () => Promise<void>;
  /** Whether the newest read of the log succeeded. */
  readonly isReachable: () => boolean;
  /** Takes a peer's state when it covers more; true when taken. */
  readonly offerState: (state: S) => boolean;
  /** Ends all tasks; unsettled appends reject. */
  readonly stop: () => Promise<void>;
}

/** Starts to follow a stream. */
export function followStream<S extends StreamState>(
  options: FollowStreamOptions<S>,
): StreamFollower<S> {
  const log = options.logEvent ?? logEvent;
  const random = options.random ?? Math.random;
  const stopping = new AbortController();
  const listeners = new Set<(state: S) => void>();
  const starting = new AbortController();
  let state = options.emptyState;
  let isReachable = true;
  let reachedEnd = false;
  let currentMs = -Infinity;

  const appender = createAppender({
    writer: options.writer,
    appendPayload: (payload) => options.log.append(options.stream, payload),
    getState: () => reachedEnd ? state : undefined,
    isReachable: () => isReachable,
    groupDelayMs: options.groupDelayMs ?? defaultGroupDelayMs,
    appendTimeoutMs: options.appendTimeoutMs ?? defaultAppendTimeoutMs,
    logEvent: log,
  });
  const checkpoints = keepCheckpoints({
    getState: () => state,
    append: appender.append,
    build: options.buildCheckpoint,
    isReachable: () => isReachable && reachedEnd,
    intervalMs: options.checkpointIntervalMs ?? defaultCheckpointIntervalMs,
    maxEntries: options.checkpointEntries ?? defaultCheckpointEntries,
    random,
    signal: stopping.signal,
  });

  async function runTail(): Promise<void> {
    let backOffMs = firstBackOffMs;
    while (!stopping.signal.aborted) {
      try {
        await readOnce();
        if (!isReachable) log(logEvents.readRecovered, describeStream());
        isReachable = true;
        backOffMs = firstBackOffMs;
      } catch (error) {
        if (stopping.signal.aborted) return;
        noteReadFailure(error);
        if (!starting.signal.aborted) await fetchPeerState();
        await waitFor(backOffMs * (0.5 + random() / 2), stopping.signal);
        backOffMs = Math.min(backOffMs * 2, longestBackOffMs);
      }
    }
  }

  async function readOnce(): Promise<void> {
    const from = getOffset(state.next);
    const startMs = performance.now();
    const page = await readPage(from);
    // A peer's state may have been taken during the read.
    if (getOffset(state.next) !== from) return;
    if (!page || page.earliest > from) return await startFromCheckpoint();
    if (page.end < from) return noteShrunkLog(page.end, from);
    foldPage(page);
    if (getOffset(state.next) < page.end) return;
    currentMs = startMs;
    reachedEnd = true;
    starting.abort();
  }

  /** Reads from an offset; undefined when it lies behind the retention edge. */
  async function readPage(from: number): Promise<LogPage | undefined> {
    try {
      return await options.log.read(options.stream, {
        from,
        limit: readLimit,
        waitMs: reachedEnd ? options.waitMs ?? defaultWaitMs : 0,
        signal: stopping.signal,
      });
    } catch (error) {
      const isExpired = error instanceof RemoteError &&
        error.failure === RemoteFailure.Expired;
      if (isExpired) return undefined;
      throw error;
    }
  }

  function foldPage(page: LogPage): void {
    const before = state;
    for (const entry of page.entries) {
      if (entry.offset < getOffset(state.next)) continue;
      if (entry.offset > getOffset(state.next)) break;
      const judged = checkEntry(state, entry);
      noteVerdict(judged.verdict, entry.offset);
      state = foldEntry(state, judged, options);
      noteCheckpoint(checkpoints, judged);
      appender.settleEntry(judged);
    }
    appender.settleExpired(state.next);
    if (state !== before) callListeners();
  }

  async function startFromCheckpoint(): Promise<void> {
    const found = await findCheckpoint({
      read: (range) => options.log.read(options.stream, range),
      emptyState: options.emptyState,
      readCheckpoint: options.readCheckpoint,
      signal: stopping.signal,
    });
    if (!found) {
      log(logEvents.checkpointMissing, describeStream());
      throw new RemoteError("the log keeps no usable checkpoint", {
        failure: RemoteFailure.Expired,
        effect: Effect.None,
      });
    }
    if (replaceState(found)) log(logEvents.checkpointTaken, describeStream());
  }

  async function fetchPeerState(): Promise<void> {
    const offered = await options.initial?.().catch(() => undefined);
    if (offered) offerState(offered);
  }

  function offerState(offered: S): boolean {
    if (!replaceState(offered)) return false;
    log(logEvents.peerStateTaken, describeStream());
    starting.abort();
    return true;
  }

  function replaceState(offered: S): boolean {
    if (offered.next <= state.next) return false;
    state = { ...offered, next: getPosition(getOffset(offered.next)) };
    appender.settleJump(state);
    callListeners();
    return true;
  }

  function callListeners(): void {
    for (const listener of [...listeners]) listener(state);
  }

  function noteReadFailure(error: unknown): void {
    const failure = error instanceof RemoteError ? error.failure : "other";
    if (isReachable) {
      log(logEvents.readFailed, { ...describeStream(), failure });
    }
    isReachable = false;
  }

  function noteShrunkLog(end: number, from: number): void {
    log(logEvents.logShrunk, { ...describeStream(), end, from });
    throw new RemoteError("the log ends before entries that were read", {
      failure: RemoteFailure.Malformed,
      effect: Effect.None,
    });
  }

  function noteVerdict(verdict: EntryVerdict, offset: number): void {
    const fields = { stream: options.stream, offset };
    if (verdict === EntryVerdict.Malformed) log(logEvents.entrySkipped, fields);
    if (verdict === EntryVerdict.Late) log(logEvents.groupLate, fields);
  }

  function describeStream(): { stream: StreamName; position: number } {
    return { stream: options.stream, position: state.next };
  }

  const tailing = runTail();
  return {
    getState: () => state,
    getAgeMs: () => performance.now() - currentMs,
    append: appender.append,
    onChange: (listener) => {
      listeners.add(listener);
      return () => listeners.delete(listener);
    },
    isStarted: () => starting.signal.aborted,
    waitUntilStarted: () => waitForAbort(starting.signal),
    isReachable: () => isReachable && reachedEnd,
    offerState,
    stop: async () => {
      stopping.abort();
      appender.stop();
      await tailing;
    },
  };
}

function waitForAbort(signal: AbortSignal): Promise<void> {
  if (signal.aborted) return Promise.resolve();
  return new Promise((resolve) =>
    signal.addEventListener("abort", () => resolve(), { once: true })
  );
}
