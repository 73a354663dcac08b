/**
 * Follows one stream of the platform's log: a single task reads up to the
 * stream's end, folds every entry and resolves or rejects this node's appends.
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
  type ReadCheckpoint,
  recordCheckpoint,
  startCheckpoints,
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

const maxPageEntries = 1_000;
const defaultReadWaitMs = 1_000;
const defaultGroupDelayMs = 20;
const defaultAppendTimeoutMs = 5_000;
const defaultCheckpointIntervalMs = 60_000;
const defaultMaxCheckpointLagEntries = 10_000;
const minBackoffMs = 100;
const maxBackoffMs = 2_000;

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
  /** Builds a checkpoint record; a stream without it starts at the earliest retained entry. */
  readonly buildCheckpoint?: BuildCheckpoint<S>;
  /** Reads the state of a checkpoint record; undefined on any other record. */
  readonly readCheckpoint?: ReadCheckpoint<S>;
  /** Fetches a state from peers, called when a read fails before the follower has started. */
  readonly fetchPeerState?: () => Promise<S | undefined>;
  /** Longest time that a read at the stream's end waits for an entry, in ms. */
  readonly waitMs?: number;
  readonly groupDelayMs?: number;
  readonly appendTimeoutMs?: number;
  /** Maximum age of the newest checkpoint, in ms; must be less than a quarter of the log's retention. */
  readonly checkpointIntervalMs?: number;
  /** Number of entries after the newest checkpoint from which the next one is due. */
  readonly maxCheckpointLagEntries?: number;
  /** Random number in [0, 1), for jitter. */
  readonly random?: () => number;
  readonly logEvent?: LogEvent;
}

/** A followed stream with the controls of its owner. */
export interface StreamFollower<S> extends FollowedStream<S> {
  /** Whether the state may be used: it was read to the log's end or came from a peer. */
  readonly isStarted: () => boolean;
  /** Resolves once the state may be used. */
  readonly waitUntilStarted: () => Promise<void>;
  /** Whether the latest read of the log succeeded and its end has been reached. */
  readonly isReachable: () => boolean;
  /** Replaces the state by a peer's if that covers more entries; true if replaced. */
  readonly offerState: (state: S) => boolean;
  /** Ends all tasks and rejects pending appends. */
  readonly stop: () => Promise<void>;
}

/** Starts to follow a stream; it reads until `stop` is called. */
export function followStream<S extends StreamState>(
  options: FollowStreamOptions<S>,
): StreamFollower<S> {
  const log = options.logEvent ?? logEvent;
  const random = options.random ?? Math.random;
  const stopping = new AbortController();
  const listeners = new Set<(state: S) => void>();
  const started = new AbortController();
  let state = options.emptyState;
  let isReachable = true;
  let reachedEnd = false;
  let caughtUpMs = -Infinity;

  const appender = createAppender({
    writer: options.writer,
    appendPayload: (payload) => options.log.append(options.stream, payload),
    getState: () => reachedEnd ? state : undefined,
    isReachable: () => isReachable,
    groupDelayMs: options.groupDelayMs ?? defaultGroupDelayMs,
    appendTimeoutMs: options.appendTimeoutMs ?? defaultAppendTimeoutMs,
    logEvent: log,
  });
  const checkpoints = startCheckpoints({
    getState: () => state,
    append: appender.append,
    build: options.buildCheckpoint,
    isReachable: () => isReachable && reachedEnd,
    intervalMs: options.checkpointIntervalMs ?? defaultCheckpointIntervalMs,
    maxEntries: options.maxCheckpointLagEntries ??
      defaultMaxCheckpointLagEntries,
    random,
    signal: stopping.signal,
  });

  async function runTail(): Promise<void> {
    let backoffMs = minBackoffMs;
    while (!stopping.signal.aborted) {
      try {
        await readOnce();
        if (!isReachable) log(logEvents.readRecovered, describeStream());
        isReachable = true;
        backoffMs = minBackoffMs;
      } catch (error) {
        if (stopping.signal.aborted) return;
        recordReadFailure(error);
        if (!started.signal.aborted) await loadPeerState();
        await waitFor(backoffMs * (0.5 + random() / 2), stopping.signal);
        backoffMs = Math.min(backoffMs * 2, maxBackoffMs);
      }
    }
  }

  async function readOnce(): Promise<void> {
    const from = getOffset(state.next);
    const startMs = performance.now();
    const page = await readPage(from);
    // A peer's state may have replaced this one during the read.
    if (getOffset(state.next) !== from) return;
    if (!page || page.earliest > from) return await startFromCheckpoint();
    if (page.end < from) return throwShrunkLog(page.end, from);
    foldPage(page);
    if (getOffset(state.next) < page.end) return;
    caughtUpMs = startMs;
    reachedEnd = true;
    started.abort();
  }

  /** Reads from an offset; undefined when its entry is no longer retained. */
  async function readPage(from: number): Promise<LogPage | undefined> {
    try {
      return await options.log.read(options.stream, {
        from,
        limit: maxPageEntries,
        waitMs: reachedEnd ? options.waitMs ?? defaultReadWaitMs : 0,
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
      const checked = checkEntry(state, entry);
      logVerdict(checked.verdict, entry.offset);
      state = foldEntry(state, checked, options);
      recordCheckpoint(checkpoints, checked);
      appender.settleEntry(checked);
    }
    appender.settleExpired(state.next);
    if (state !== before) callListeners();
  }

  async function startFromCheckpoint(): Promise<void> {
    const loaded = await findCheckpoint({
      read: (range) => options.log.read(options.stream, range),
      emptyState: options.emptyState,
      readCheckpoint: options.readCheckpoint,
      signal: stopping.signal,
    });
    if (!loaded) {
      log(logEvents.checkpointMissing, describeStream());
      throw new RemoteError("the log keeps no usable checkpoint", {
        failure: RemoteFailure.Expired,
        effect: Effect.None,
      });
    }
    if (replaceState(loaded)) log(logEvents.checkpointLoaded, describeStream());
  }

  async function loadPeerState(): Promise<void> {
    const offered = await options.fetchPeerState?.().catch(() => undefined);
    if (offered) offerState(offered);
  }

  function offerState(offered: S): boolean {
    if (!replaceState(offered)) return false;
    log(logEvents.peerStateAccepted, describeStream());
    started.abort();
    return true;
  }

  function replaceState(offered: S): boolean {
    if (offered.next <= state.next) return false;
    state = { ...offered, next: getPosition(getOffset(offered.next)) };
    appender.settleSkipped(state);
    callListeners();
    return true;
  }

  function callListeners(): void {
    for (const listener of [...listeners]) listener(state);
  }

  function recordReadFailure(error: unknown): void {
    const failure = error instanceof RemoteError ? error.failure : "other";
    if (isReachable) {
      log(logEvents.readFailed, { ...describeStream(), failure });
    }
    isReachable = false;
  }

  function throwShrunkLog(end: number, from: number): void {
    log(logEvents.logShrunk, { ...describeStream(), end, from });
    throw new RemoteError("the log ends before entries that were read", {
      failure: RemoteFailure.Malformed,
      effect: Effect.None,
    });
  }

  function logVerdict(verdict: EntryVerdict, offset: number): void {
    const fields = { stream: options.stream, offset };
    if (verdict === EntryVerdict.Malformed) log(logEvents.entrySkipped, fields);
    if (verdict === EntryVerdict.Late) log(logEvents.groupLate, fields);
  }

  function describeStream(): { stream: StreamName; position: number } {
    return { stream: options.stream, position: state.next };
  }

  const tailTask = runTail();
  return {
    getState: () => state,
    getAgeMs: () => performance.now() - caughtUpMs,
    append: appender.append,
    onChange: (listener) => {
      listeners.add(listener);
      return () => listeners.delete(listener);
    },
    isStarted: () => started.signal.aborted,
    waitUntilStarted: () => waitForAbort(started.signal),
    isReachable: () => isReachable && reachedEnd,
    offerState,
    stop: async () => {
      stopping.abort();
      appender.stop();
      await tailTask;
    },
  };
}

function waitForAbort(signal: AbortSignal): Promise<void> {
  if (signal.aborted) return Promise.resolve();
  return new Promise((resolve) =>
    signal.addEventListener("abort", () => resolve(), { once: true })
  );
}
