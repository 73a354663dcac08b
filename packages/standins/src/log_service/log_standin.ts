/** Stand-in for the platform's append-only log service. */
import { Effect, type LogEntry, waitFor } from "@trefoildoor/core";
import { z } from "zod";
import {
  createFaults,
  type Faults,
  type StandinAnswer,
  type StandinCall,
  StandinError,
  startStandinServer,
} from "../shared/index.ts";

/** Settings of the log stand-in. */
export interface LogStandinOptions {
  /** Appends that the service takes each second over all streams; unlimited when absent. */
  readonly appendsPerSecond?: number;
  /** Time that a record is kept, in ms; for ever when absent. */
  readonly retentionMs?: number;
}

/** A running log stand-in with its records and faults. */
export interface LogStandin {
  readonly address: string;
  readonly faults: Faults;
  /** Entries of a stream, those behind the retention edge as well. */
  readonly listEntries: (stream: string) => readonly LogEntry[];
  /** Appends that took effect since the start. */
  readonly countAppends: () => number;
  /** Bytes of payload that took effect since the start. */
  readonly countBytes: () => number;
  /** Forgets all entries below an offset, as retention does. */
  readonly expire: (stream: string, before: number) => void;
  /** Appends without HTTP, for a test's own records. */
  readonly append: (stream: string, payload: string) => number;
  /** Calls the listener with each appended entry; returns its removal. */
  readonly onAppend: (listener: AppendListener) => () => void;
  readonly close: () => Promise<void>;
}

/** Sees an entry once it is in the log, before the append is answered. */
export type AppendListener = (stream: string, entry: LogEntry) => void;

interface Stream {
  readonly entries: LogEntry[];
  earliest: number;
}

const appendSchema = z.object({ payload: z.string().max(4 * 1024 * 1024) });
const rangeSchema = z.object({
  stream: z.string().min(1),
  from: z.coerce.number().int().min(0),
  limit: z.coerce.number().int().min(1).max(10_000),
  wait_ms: z.coerce.number().min(0).max(60_000).default(0),
});

const rateWindowMs = 1_000;

/** Starts the log stand-in. */
export async function startLogStandin(
  options: LogStandinOptions = {},
): Promise<LogStandin> {
  const streams = new Map<string, Stream>();
  const listeners = new Set<AppendListener>();
  const faults = createFaults();
  const recentAppends: number[] = [];
  let appends = 0;
  let bytes = 0;

  const getStream = (name: string): Stream => {
    const stream = streams.get(name) ?? { entries: [], earliest: 0 };
    streams.set(name, stream);
    return stream;
  };
  const append = (name: string, payload: string): number => {
    const stream = getStream(name);
    const entry = {
      offset: stream.entries.length,
      timeMs: Date.now(),
      payload,
    };
    stream.entries.push(entry);
    appends++;
    bytes += Buffer.byteLength(payload);
    for (const listener of listeners) listener(name, entry);
    return entry.offset;
  };
  const admitAppend = (): void => {
    if (options.appendsPerSecond === undefined) return;
    const now = performance.now();
    while ((recentAppends[0] ?? now) <= now - rateWindowMs) {
      recentAppends.shift();
    }
    if (recentAppends.length >= options.appendsPerSecond) {
      throw new StandinError(429, "rate_limited", {
        message: "too many appends",
        effect: Effect.None,
        retryAfterMs: Math.ceil(
          (recentAppends[0] ?? now) + rateWindowMs - now,
        ),
      });
    }
    recentAppends.push(now);
  };
  const handleAppend = (call: StandinCall): StandinAnswer => {
    const { payload } = appendSchema.parse(call.body);
    admitAppend();
    const offset = append(call.params.stream ?? "", payload);
    return { status: 201, body: { offset } };
  };
  const handleRead = async (call: StandinCall): Promise<StandinAnswer> => {
    const range = rangeSchema.parse(call.params);
    const stream = getStream(range.stream);
    if (range.wait_ms > 0 && range.from >= stream.entries.length) {
      await waitForEntry(range.stream, { listeners, waitMs: range.wait_ms });
    }
    return readStream(stream, range, options);
  };
  const server = await startStandinServer({
    faults,
    routes: {
      "POST /streams/:stream/entries": handleAppend,
      "GET /streams/:stream/entries": handleRead,
    },
  });
  return {
    address: server.address,
    faults,
    listEntries: (stream) => getStream(stream).entries,
    countAppends: () => appends,
    countBytes: () => bytes,
    expire: (stream, before) => {
      getStream(stream).earliest = before;
    },
    append,
    onAppend: (listener) => {
      listeners.add(listener);
      return () => listeners.delete(listener);
    },
    close: server.close,
  };
}

function readStream(
  stream: Stream,
  range: z.infer<typeof rangeSchema>,
  options: LogStandinOptions,
): StandinAnswer {
  const edgeMs = Date.now() - (options.retentionMs ?? Infinity);
  while (
    (stream.entries[stream.earliest]?.timeMs ?? Infinity) < edgeMs
  ) stream.earliest++;
  if (range.from < stream.earliest) {
    throw new StandinError(410, "expired", {
      message: `first kept offset is ${stream.earliest}`,
      effect: Effect.None,
    });
  }
  const entries = stream.entries.slice(range.from, range.from + range.limit);
  return {
    status: 200,
    body: {
      entries: entries.map(({ offset, timeMs, payload }) => ({
        offset,
        time_ms: timeMs,
        payload,
      })),
      end: stream.entries.length,
      earliest: stream.earliest,
    },
  };
}

async function waitForEntry(
  stream: string,
  options: { readonly listeners: Set<AppendListener>; readonly waitMs: number },
): Promise<void> {
  const arrived = new AbortController();
  const listener: AppendListener = (name) => {
    if (name === stream) arrived.abort();
  };
  options.listeners.add(listener);
  await waitFor(options.waitMs, arrived.signal);
  options.listeners.delete(listener);
}
