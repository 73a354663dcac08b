/**
 * Follows one topic of the store until the process stops, by long polls or by
 * periodic reads. Long polls (`longPollMs` above 0) suit topics that change rarely.
 * Periodic reads suit topics that change all the time, where a long poll would
 * return at once.
 */
import {
  addMs,
  type Instant,
  type LogEvent,
  logEvent,
  noInstant,
  runWithTimeout,
  startPolledTimer,
  takeInstant,
  waitAtMost,
} from "../../shared/index.ts";
import {
  type ReadableTopic,
  RemoteError,
  RemoteFailure,
  type TopicPage,
  type TopicRecord,
} from "../../types/index.ts";
import { fleetEvents } from "./events.ts";
import { createSharedCall } from "./shared_call.ts";
import { createReadFailures } from "./read_failures.ts";
import { createTopicAge } from "./topic_age.ts";

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
  /** Age of the known state, in ms: time since the last successful read, by this instance or a peer, counted from the earliest moment at which the store can have answered it. */
  readonly getAgeMs: () => number;
  /** Time since the last successful read of this instance's own, in ms; Infinity before the first. */
  readonly getReadAgeMs: () => number;
  /** Time since fresh data arrived again after an outage, in ms; 0 during an outage, Infinity if there was none. */
  readonly getSinceRecoveryMs: () => number;
  /** Whether the last read of this instance's own succeeded. */
  readonly isReadable: () => boolean;
  /** Continues from an offset that a peer has read at an instant; a lower offset than the current one changes nothing. */
  readonly advanceTo: (next: number, asOf?: Instant) => void;
  /** Records that a peer, which knows nothing newer, has read the topic at an instant. */
  readonly confirmUnchanged: (asOf: Instant) => void;
  /**
   * Reads the topic unless the known state is at most `maxAgeMs` old; resolves
   * to whether it is, by a read or by a peer's news. Resolves to false at once
   * while reads fail repeatedly; the regular ones go on.
   */
  readonly renew: (maxAgeMs: number) => Promise<boolean>;
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
/** Timeout of a read that a call waits for, on a new connection, in ms. */
const freshReadTimeoutMs = 500;
/** Time after which such a read is made beside one without an answer, whose connection may have fallen silent, in ms. */
const unansweredMs = 250;
/** Failed reads in a row after which no call waits for another one. */
const maxFailures = 2;
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
  const age = createTopicAge();
  let readable = true;
  const failures = createReadFailures();
  let reading = new AbortController();
  let interrupted = false;
  /** The regular read on its way, unless the store may hold it. */
  let pending: Promise<void> | undefined;
  let renewing: Promise<void> | undefined;
  /** Whether the next regular read is to be made now, needed or not. */
  let wanted = false;
  let endPause = (): void => undefined;
  /** Whether the store holds the regular read on its way. */
  let holding = false;
  /** Called when the next regular read starts, or the reads end. */
  const startListeners = new Set<() => void>();

  async function readPage(): Promise<void> {
    const sent = takeInstant();
    const fetchedNewest = needsNewest;
    const page = await fetchPage();
    // A list that a peer's news has overtaken is not used.
    if (fetchedNewest && page.next >= next) recordReadAhead(page);
    const held = !fetchedNewest && page.records.length === 0;
    applyPage(page, {
      whole: fetchedNewest,
      asOf: held ? addHeldTime(sent) : sent,
    });
  }

  /** The instant as of which the store has answered a held read without records: it held the read for its whole time. */
  function addHeldTime(sent: Instant): Instant {
    const tookMs = performance.now() - sent.monotonicMs;
    return addMs(sent, tookMs < options.longPollMs ? 0 : options.longPollMs);
  }

  /** Applies a page whose content is as of an instant. */
  function applyPage(
    page: TopicPage<Value>,
    { whole, asOf }: { readonly whole: boolean; readonly asOf: Instant },
  ): void {
    // The offset may have moved while the page was read.
    const records = page.records.filter(({ key, offset }) =>
      whole || offset >= next && offset > (readAhead.get(key) ?? -Infinity)
    );
    needsNewest = false;
    const regained = !readable;
    if (regained) {
      log(fleetEvents.topicRegained, {
        topic: options.name,
        failures: failures.count(),
      });
    }
    readable = true;
    failures.clear();
    const { era } = page;
    const applied = { records, next: page.next, era, whole };
    next = Math.max(next, page.next);
    age.recordRecovery();
    options.onPage(applied);
    age.recordRead(asOf);
    if (regained) options.onRegained?.();
  }

  /** Records which keys have a newer record than the read that follows begins with. */
  function recordReadAhead(page: TopicPage<Value>): void {
    readAhead.clear();
    for (const { key, offset } of page.records) {
      if (offset >= page.next) readAhead.set(key, offset);
    }
  }

  async function fetchPage(): Promise<TopicPage<Value>> {
    reading = new AbortController();
    interrupted = false;
    const { longPollMs, answerTimeoutMs = defaultAnswerTimeoutMs } = options;
    const timeoutMs = answerTimeoutMs + (needsNewest ? 0 : longPollMs);
    failures.expectStep(timeoutMs);
    const timer = startPolledTimer(
      () => reading.abort(new DOMException("read timed out", "TimeoutError")),
      timeoutMs,
    );
    try {
      return needsNewest
        ? await topic.fetchNewest(reading.signal)
        : await topic.read(next, {
          waitMs: longPollMs,
          signal: reading.signal,
        });
    } finally {
      timer.cancel();
    }
  }

  function recordExpired(): void {
    log(fleetEvents.topicExpired, { topic: options.name, next });
    needsNewest = true;
  }

  function handleFailure(error: unknown): void {
    if (signal.aborted || interrupted) return;
    options.onFailure?.();
    if (isExpired(error)) return recordExpired();
    failures.record();
    age.recordFailure();
    if (readable) {
      log(fleetEvents.topicLost, { topic: options.name, error: String(error) });
    }
    readable = false;
  }

  /** Makes one regular read; resolves to the pause after it, in ms. */
  async function readRegularly(): Promise<number> {
    const readNewest = needsNewest;
    const heldMs = readNewest ? 0 : options.longPollMs;
    try {
      await readPage();
      return addJitter(options.intervalMs);
    } catch (error) {
      handleFailure(error);
      if (needsNewest && !readNewest) return 0;
      // A held read fails late, so its first retry follows at once.
      if (heldMs > 0 && failures.count() === 1) return 0;
      return addJitter(
        Math.min(minRetryMs * 2 ** failures.count(), maxRetryMs),
      );
    }
  }

  /** Waits for `ms`, or until the next read is wanted. */
  async function pause(ms: number): Promise<void> {
    if (wanted || signal.aborted) return;
    await new Promise<void>((resolve) => {
      const timer = setTimeout(resolve, ms);
      endPause = () => {
        clearTimeout(timer);
        resolve();
      };
    });
  }

  async function run(): Promise<void> {
    while (!signal.aborted) {
      if (!needsNewest && !wanted && options.isNeeded?.() === false) {
        failures.expectStep(neededCheckMs);
        await pause(neededCheckMs);
        continue;
      }
      wanted = false;
      holding = options.longPollMs > 0 && !needsNewest;
      const read = readRegularly();
      pending = holding ? undefined : read.then(() => undefined);
      notifyStarted();
      const pauseMs = await read;
      pending = undefined;
      holding = false;
      failures.expectStep(pauseMs);
      await pause(pauseMs);
    }
    notifyStarted();
  }

  function notifyStarted(): void {
    for (const listener of startListeners) listener();
    startListeners.clear();
  }

  function interrupt(): void {
    interrupted = true;
    reading.abort();
  }

  /** Starts a regular read now; resolves at its end. */
  async function readRegularlyNow(): Promise<void> {
    if (!pending && !signal.aborted) {
      wanted = true;
      const started = new Promise<void>((resolve) =>
        startListeners.add(resolve)
      );
      // The store would hold up the read that is wanted.
      if (holding) interrupt();
      else endPause();
      await started;
    }
    await pending;
  }

  /** Reads for calls that wait: as a regular read where the store holds none, and on a new connection if that brings no answer. */
  async function readForCalls(maxAgeMs: number): Promise<void> {
    const isHeld = options.longPollMs > 0 && !needsNewest;
    const first = isHeld ? readBeside() : readRegularlyNow();
    await waitAtMost(first, unansweredMs);
    if (age.getAgeMs() <= maxAgeMs || signal.aborted) return;
    // Records expired: the newest of each key have to be read.
    if (needsNewest) return await readRegularlyNow();
    await readBeside({ fresh: true, timeoutMs: freshReadTimeoutMs });
  }

  async function renew(maxAgeMs: number): Promise<boolean> {
    if (age.getAgeMs() <= maxAgeMs) return true;
    if (failures.count() >= maxFailures) return false;
    renewing ??= readForCalls(maxAgeMs).finally(() => {
      renewing = undefined;
    });
    await age.waitForFresh(maxAgeMs, renewing);
    return age.getAgeMs() <= maxAgeMs;
  }

  /** Reads beside the regular reads; undefined if that fails. */
  async function readBeside(
    { fresh, timeoutMs = readNowTimeoutMs }: {
      /** Whether to use a new connection. */
      readonly fresh?: boolean;
      readonly timeoutMs?: number;
    } = {},
  ): Promise<readonly TopicRecord<Value>[] | undefined> {
    if (needsNewest) return undefined;
    const sent = takeInstant();
    try {
      const page = await runWithTimeout(
        (bounded) => topic.read(next, { waitMs: 0, signal: bounded, fresh }),
        { timeoutMs, signal },
      );
      applyPage(page, { whole: false, asOf: sent });
      return page.records;
    } catch (error) {
      // The regular reads report other failures.
      if (isExpired(error)) recordExpired();
      return undefined;
    }
  }

  function addJitter(ms: number): number {
    return ms * (1 + jitterShare * (random() - 0.5));
  }

  // One listener for all reads: combining the signals anew for each read would
  // leave a listener of each read on the long-lived signal.
  signal.addEventListener("abort", () => {
    reading.abort();
    endPause();
  }, { once: true });
  void run();
  return {
    getNext: () => next,
    getAgeMs: age.getAgeMs,
    getReadAgeMs: age.getReadAgeMs,
    getSinceRecoveryMs: age.getSinceRecoveryMs,
    isReadable: () => readable,
    advanceTo(offset, asOf = noInstant): void {
      if (offset >= next) age.recordPeerRead(asOf);
      if (offset <= next) return;
      next = offset;
      needsNewest = false;
    },
    confirmUnchanged: age.recordPeerRead,
    renew,
    readNow: createSharedCall(() => readBeside()),
    markRestored: age.markRestored,
    interrupt,
  };
}

function isExpired(error: unknown): boolean {
  return error instanceof RemoteError &&
    error.failure === RemoteFailure.Expired;
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
