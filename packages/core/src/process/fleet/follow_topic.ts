/**
 * Follows one topic of the store until the process stops, by long polls or by
 * periodic reads. Long polls (`longPollMs` above 0) suit topics that change rarely.
 * Periodic reads suit topics that change all the time, where a long poll would
 * return at once.
 */
import {
  type LogEvent,
  logEvent,
  runWithTimeout,
  waitFor,
} from "../../shared/index.ts";
import {
  type ReadableTopic,
  RemoteError,
  RemoteFailure,
  type TopicPage,
  type TopicRecord,
} from "../../types/index.ts";
import { fleetEvents } from "./events.ts";

/** Settings and callbacks of a followed topic. */
export interface FollowTopicOptions<Value> {
  /** Name of the topic in log events. */
  readonly name: string;
  /** Mean pause between two successful reads, in ms. */
  readonly intervalMs: number;
  /** Longest time for which the store may hold a read (long poll), in ms; with 0 it answers at once. */
  readonly longPollMs: number;
  /** Time after which a read has failed, in addition to the time for which the store may hold it, in ms; 1 s by default. */
  readonly answerTimeoutMs?: number;
  readonly onPage: (page: AppliedPage<Value>) => void;
  /** Whether this instance has to read the store itself, as no peer does; always true if absent. The first read is made in any case. */
  readonly isNeeded?: () => boolean;
  /** Called after each failed read, except interrupted ones. */
  readonly onFailure?: () => void;
  /** Called after the first successful read that follows failed ones. */
  readonly onRegained?: () => void;
  readonly signal: AbortSignal;
  readonly random?: () => number;
  readonly logEvent?: LogEvent;
}

/** Records of one read, without those before the offset that is already known. */
export interface AppliedPage<Value> extends TopicPage<Value> {
  /** Whether the page holds the newest record of every key, instead of the records since the last page. */
  readonly whole: boolean;
}

/** Position and freshness of a followed topic. */
export interface FollowedTopic<Value = unknown> {
  /** Offset of the next read; 0 before the first. */
  readonly getNext: () => number;
  /** Age of the known state, in ms: time since the last successful read, by this instance or a peer, counted from when a periodic read was sent or a long poll answered. */
  readonly getAgeMs: () => number;
  /** Time since the last successful read of this instance's own, in ms; Infinity before the first. */
  readonly getReadAgeMs: () => number;
  /** Time since fresh data arrived again after an outage, in ms; 0 during an outage, Infinity if there was none. */
  readonly getSinceRecoveryMs: () => number;
  /** Whether the last read of this instance's own succeeded. */
  readonly isReadable: () => boolean;
  /** Continues from an offset that a peer has read `ageMs` ago; a lower offset than the current one changes nothing. */
  readonly advanceTo: (next: number, ageMs?: number) => void;
  /**
   * Reads what the store has accepted until now, beside the regular reads, and
   * applies it; resolves to the records, or to undefined if they cannot be read.
   */
  readonly readNow: () => Promise<readonly TopicRecord<Value>[] | undefined>;
  /** Records that the store came back from an older copy, as after an outage. */
  readonly markRestored: () => void;
  /** Aborts the current read, whose connection may be dead, and reads again after a backoff. */
  readonly interrupt: () => void;
}

const defaultAnswerTimeoutMs = 1_000;
/** Timeout of a read beside the regular ones, in ms: a call of a caller waits for it. */
const readNowTimeoutMs = 300;
/**
 * Age of the known state above which a failed read shows an outage, in ms:
 * longer than the delay of a late read, shorter than the time in which entries
 * lapse.
 */
const outageAfterMs = 1_500;
/** Pause between two calls of `isNeeded`, in ms: a fraction of the pause between reads. */
const neededCheckMs = 100;
/** Base of the retry backoff, in ms; it doubles with each failure in a row. */
const minRetryMs = 150;
const maxRetryMs = 900;
/** Width of the range over which pauses vary, as a share of the pause, so that instances do not read at the same moment. */
const jitterShare = 0.3;

/** Starts to follow the topic, until the signal aborts. Failed reads are retried without limit. */
export function followTopic<Value>(
  topic: ReadableTopic<Value>,
  options: FollowTopicOptions<Value>,
): FollowedTopic<Value> {
  const { signal } = options;
  const log = options.logEvent ?? logEvent;
  const random = options.random ?? Math.random;
  let next = 0;
  /** Whether the next read has to fetch the newest record of every key. */
  let needsNewest = true;
  /** Offsets of records that were read ahead of `next`, by key. */
  const readAhead = new Map<string, number>();
  let readMs = -Infinity;
  let peerReadMs = -Infinity;
  let failedMs = -Infinity;
  let recoveredMs = -Infinity;
  let readable = true;
  let failures = 0;
  let reading = new AbortController();
  let interrupted = false;

  async function readPage(): Promise<void> {
    const sentMs = performance.now();
    const fetchedNewest = needsNewest;
    const page = await fetchPage();
    if (fetchedNewest) recordReadAhead(page);
    const atMs = options.longPollMs > 0 ? performance.now() : sentMs;
    applyPage(page, { whole: fetchedNewest, atMs });
  }

  /** Applies a page whose content is as of `atMs`. */
  function applyPage(
    page: TopicPage<Value>,
    { whole, atMs }: { readonly whole: boolean; readonly atMs: number },
  ): void {
    // The offset may have moved while the page was read.
    const records = page.records.filter(({ key, offset }) =>
      whole || offset >= next && offset > (readAhead.get(key) ?? -Infinity)
    );
    needsNewest = false;
    const regained = !readable;
    if (regained) {
      log(fleetEvents.topicRegained, { topic: options.name, failures });
    }
    readable = true;
    failures = 0;
    recordRecovery();
    readMs = Math.max(readMs, atMs);
    const { era } = page;
    const applied = { records, next: page.next, era, whole };
    next = Math.max(next, page.next);
    options.onPage(applied);
    if (regained) options.onRegained?.();
  }

  /** Records which keys have a newer record than the read that follows begins with. */
  function recordReadAhead(page: TopicPage<Value>): void {
    readAhead.clear();
    for (const { key, offset } of page.records) {
      if (offset >= page.next) readAhead.set(key, offset);
    }
  }

  function getAgeMs(): number {
    return performance.now() - Math.max(readMs, peerReadMs);
  }

  /** Whether the store counts as unreachable: data that is merely late, while no own read has failed since, does not show an outage. */
  function isAway(): boolean {
    const ageMs = getAgeMs();
    return ageMs > outageAfterMs && ageMs < Infinity &&
      failedMs > Math.max(readMs, peerReadMs);
  }

  /** Starts the time since recovery if the store was unreachable; called before fresh data is applied. */
  function recordRecovery(): void {
    if (isAway()) recoveredMs = performance.now();
  }

  async function fetchPage(): Promise<TopicPage<Value>> {
    reading = new AbortController();
    interrupted = false;
    const { longPollMs, answerTimeoutMs = defaultAnswerTimeoutMs } = options;
    const timer = setTimeout(
      () => reading.abort(new DOMException("read timed out", "TimeoutError")),
      answerTimeoutMs + (needsNewest ? 0 : longPollMs),
    );
    try {
      return needsNewest
        ? await topic.fetchNewest(reading.signal)
        : await topic.read(next, {
          waitMs: longPollMs,
          signal: reading.signal,
        });
    } finally {
      clearTimeout(timer);
    }
  }

  function handleFailure(error: unknown): void {
    if (signal.aborted || interrupted) return;
    options.onFailure?.();
    if (
      error instanceof RemoteError && error.failure === RemoteFailure.Expired
    ) {
      log(fleetEvents.topicExpired, { topic: options.name, next });
      needsNewest = true;
      return;
    }
    failures += 1;
    failedMs = performance.now();
    if (readable) {
      log(fleetEvents.topicLost, { topic: options.name, error: String(error) });
    }
    readable = false;
  }

  async function run(): Promise<void> {
    while (!signal.aborted) {
      if (!needsNewest && options.isNeeded?.() === false) {
        await waitFor(neededCheckMs, signal);
        continue;
      }
      try {
        await readPage();
        await waitFor(addJitter(options.intervalMs), signal);
      } catch (error) {
        const heldMs = needsNewest ? 0 : options.longPollMs;
        handleFailure(error);
        // A held read fails late, so its first retry follows at once.
        if (heldMs > 0 && failures === 1) continue;
        const backoffMs = Math.min(minRetryMs * 2 ** failures, maxRetryMs);
        await waitFor(addJitter(backoffMs), signal);
      }
    }
  }

  async function readChanges(): Promise<
    readonly TopicRecord<Value>[] | undefined
  > {
    if (needsNewest) return undefined;
    const atMs = performance.now();
    try {
      const page = await runWithTimeout(
        (bounded) => topic.read(next, { waitMs: 0, signal: bounded }),
        { timeoutMs: readNowTimeoutMs, signal },
      );
      applyPage(page, { whole: false, atMs });
      return page.records;
    } catch {
      // The regular reads report failures.
      return undefined;
    }
  }

  function addJitter(ms: number): number {
    return ms * (1 + jitterShare * (random() - 0.5));
  }

  // One listener for all reads: combining the signals anew for each read would
  // leave a listener of each read on the long-lived signal.
  signal.addEventListener("abort", () => reading.abort(), { once: true });
  void run();
  return {
    getNext: () => next,
    getAgeMs,
    getReadAgeMs: () => performance.now() - readMs,
    getSinceRecoveryMs: () => isAway() ? 0 : performance.now() - recoveredMs,
    isReadable: () => readable,
    advanceTo(offset, ageMs = Infinity): void {
      const knownMs = performance.now() - ageMs;
      if (offset >= next && knownMs > peerReadMs) {
        if (ageMs <= outageAfterMs) recordRecovery();
        peerReadMs = knownMs;
      }
      if (offset <= next) return;
      next = offset;
      needsNewest = false;
    },
    readNow: createSharedCall(readChanges),
    markRestored: () => {
      recoveredMs = performance.now();
    },
    interrupt: () => {
      interrupted = true;
      reading.abort();
    },
  };
}

/** Lets callers that come while a call is under way share the next one, which begins after they came. */
function createSharedCall<Result>(
  call: () => Promise<Result>,
): () => Promise<Result> {
  let current: Promise<Result> | undefined;
  let following: Promise<Result> | undefined;

  function start(): Promise<Result> {
    current = call().finally(() => {
      current = undefined;
    });
    return current;
  }

  return () => {
    if (!current) return start();
    following ??= current.then(() => {
      following = undefined;
      return start();
    });
    return following;
  };
}

/** Keeps only the newest record of each key, in order of offsets. */
export function pickNewest<Value>(
  records: readonly TopicRecord<Value>[],
): readonly TopicRecord<Value>[] {
  const newest = new Map<string, TopicRecord<Value>>();
  for (const record of records) {
    newest.delete(record.key);
    newest.set(record.key, record);
  }
  return [...newest.values()];
}
