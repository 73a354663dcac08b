/**
 * Follows one topic of the store for as long as the process lives. Held reads
 * suit topics that change rarely; spaced reads suit those that change all the
 * time, where a held read would return at once.
 */
import { type LogEvent, logEvent, waitFor } from "../../shared/index.ts";
import {
  type ReadableTopic,
  RemoteError,
  RemoteFailure,
  type TopicPage,
  type TopicRecord,
} from "../../types/index.ts";
import { fleetEvents } from "./events.ts";

/** How a topic is followed. */
export interface FollowTopicOptions<Value> {
  readonly name: string;
  /** Pause between two reads, in ms. */
  readonly spacingMs: number;
  /** Longest time that the store holds a read, in ms; 0 answers at once. */
  readonly holdMs: number;
  readonly onPage: (page: AppliedPage<Value>) => void;
  /** Whether reads are needed now, since nobody else tells the news; always where absent. */
  readonly isNeeded?: () => boolean;
  /** Called after each failed read. */
  readonly onFailure?: () => void;
  readonly signal: AbortSignal;
  readonly random?: () => number;
  readonly logEvent?: LogEvent;
}

/** Records as they are handed on. */
export interface AppliedPage<Value> extends TopicPage<Value> {
  /** Whether it holds the newest record of every key, instead of what came since. */
  readonly whole: boolean;
}

/** What is known of a followed topic. */
export interface FollowedTopic {
  /** Offset of the next read; 0 before the first. */
  readonly getNext: () => number;
  /** Age of what is known, in ms: since the last successful read, own or another instance's, was sent. */
  readonly getAgeMs: () => number;
  /** Time since the last successful read of this instance's own, in ms; Infinity before the first. */
  readonly getReadAgeMs: () => number;
  /** Time since there is fresh news again after an outage, in ms; Infinity where there was none. */
  readonly getSteadyMs: () => number;
  readonly isReadable: () => boolean;
  /** Goes on from an offset that another instance has read, `ageMs` ago. */
  readonly advanceTo: (next: number, ageMs?: number) => void;
  /** Ends a held read, whose connection may be silent, and reads anew. */
  readonly interrupt: () => void;
}

/**
 * Longest answer to a read that is not held, in ms: far above the store's
 * usual 4 ms, and short enough to notice a silent connection in time.
 */
const answerTimeoutMs = 1_000;
/**
 * Age of the news from which the store counts as away, in ms: longer than a
 * read that took its turn late, shorter than it takes entries to lapse.
 */
const awayAfterMs = 1_500;
/** Pause between two questions whether reads are needed, in ms: a fraction of the pause between reads. */
const neededCheckMs = 100;
const leastRetryMs = 150;
const mostRetryMs = 900;
/** Share by which pauses vary, so that instances do not read in step. */
const spreadShare = 0.3;

/** Starts following; ends when the signal aborts. */
export function followTopic<Value>(
  topic: ReadableTopic<Value>,
  options: FollowTopicOptions<Value>,
): FollowedTopic {
  const { signal } = options;
  const log = options.logEvent ?? logEvent;
  const random = options.random ?? Math.random;
  let next = 0;
  let whole = true;
  let readMs = -Infinity;
  let toldMs = -Infinity;
  let steadySinceMs = -Infinity;
  let readable = true;
  let failures = 0;
  let reading = new AbortController();
  let interrupted = false;

  async function readPage(): Promise<void> {
    const sentMs = performance.now();
    const wasWhole = whole;
    const page = await fetchPage();
    // A peer's state may have moved the offset on while the read was held.
    const records = page.records.filter((record) =>
      wasWhole || record.offset >= next
    );
    whole = false;
    if (!readable) {
      log(fleetEvents.topicRegained, { topic: options.name, failures });
    }
    readable = true;
    failures = 0;
    noteFresh();
    readMs = options.holdMs > 0 ? performance.now() : sentMs;
    const applied = { records, next: page.next, whole: wasWhole };
    next = Math.max(next, page.next);
    options.onPage(applied);
  }

  function getAgeMs(): number {
    return performance.now() - Math.max(readMs, toldMs);
  }

  /** Called before news is taken: what was known may have been old. */
  function noteFresh(): void {
    const ageMs = getAgeMs();
    if (ageMs > awayAfterMs && ageMs < Infinity) {
      steadySinceMs = performance.now();
    }
  }

  async function fetchPage(): Promise<TopicPage<Value>> {
    reading = new AbortController();
    interrupted = false;
    const { holdMs } = options;
    const timer = setTimeout(
      () => reading.abort(),
      answerTimeoutMs + (whole ? 0 : holdMs),
    );
    try {
      return whole
        ? await topic.fetchNewest(reading.signal)
        : await topic.read(next, { waitMs: holdMs, signal: reading.signal });
    } finally {
      clearTimeout(timer);
    }
  }

  function noteFailure(error: unknown): void {
    if (signal.aborted || interrupted) return;
    options.onFailure?.();
    if (
      error instanceof RemoteError && error.failure === RemoteFailure.Expired
    ) {
      log(fleetEvents.topicExpired, { topic: options.name, next });
      whole = true;
      return;
    }
    failures += 1;
    if (readable) {
      log(fleetEvents.topicLost, { topic: options.name, error: String(error) });
    }
    readable = false;
  }

  async function run(): Promise<void> {
    while (!signal.aborted) {
      if (!whole && options.isNeeded?.() === false) {
        await waitFor(neededCheckMs, signal);
        continue;
      }
      try {
        await readPage();
        await waitFor(drawPause(options.spacingMs), signal);
      } catch (error) {
        noteFailure(error);
        const backoffMs = Math.min(leastRetryMs * 2 ** failures, mostRetryMs);
        await waitFor(drawPause(backoffMs), signal);
      }
    }
  }

  function drawPause(ms: number): number {
    return ms * (1 + spreadShare * (random() - 0.5));
  }

  // One listener for the life of the process: joining signals for each read
  // would leave a trace of each with the one that lives on.
  signal.addEventListener("abort", () => reading.abort(), { once: true });
  void run();
  return {
    getNext: () => next,
    getAgeMs,
    getReadAgeMs: () => performance.now() - readMs,
    getSteadyMs: () =>
      getAgeMs() > awayAfterMs ? 0 : performance.now() - steadySinceMs,
    isReadable: () => readable,
    advanceTo(offset, ageMs = Infinity): void {
      const knownMs = performance.now() - ageMs;
      if (offset >= next && knownMs > toldMs) {
        if (ageMs <= awayAfterMs) noteFresh();
        toldMs = knownMs;
      }
      if (offset <= next) return;
      next = offset;
      whole = false;
    },
    interrupt: () => {
      interrupted = true;
      reading.abort();
    },
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
