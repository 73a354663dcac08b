/** HTTP adapter of the platform's log service. */
import { z } from "zod";
import {
  type HttpConnections,
  openHttpConnections,
} from "../../connection/http/index.ts";
import type { LogRange, LogService } from "../../types/platform.ts";
import type { PlatformOptions } from "./options.ts";

const appendAnswerSchema = z.object({ offset: z.int().min(0) });

const pageSchema = z.object({
  entries: z.array(z.object({
    offset: z.int().min(0),
    time_ms: z.number(),
    payload: z.string(),
  })),
  end: z.int().min(0),
  earliest: z.int().min(0),
});

const defaultTimeoutMs = 3_000;
/** Longest page of a stream, in bytes. */
const maxPageBytes = 64 * 1_048_576;

/** Log service client; `close` closes its connections. */
export interface OpenLogService extends LogService {
  readonly close: () => Promise<void>;
}

/** Creates a log service client; requests time out after 3 s by default, reads after that plus their `waitMs`. */
export function openLogService(options: PlatformOptions): OpenLogService {
  const connections = openHttpConnections(options.address, {
    replacesAfterTimeout: true,
  });
  const timeoutMs = options.timeoutMs ?? defaultTimeoutMs;
  return {
    append: async (stream, payload) => {
      const answer = await connections.fetchJson({
        method: "POST",
        path: `/streams/${encodeURIComponent(stream)}/entries`,
        headers: { "content-type": "application/json" },
        body: JSON.stringify({ payload }),
        timeoutMs,
      }, appendAnswerSchema);
      return answer.offset;
    },
    read: (stream, range) =>
      readPage(connections, { stream, range, timeoutMs }),
    close: connections.close,
  };
}

async function readPage(
  connections: HttpConnections,
  options: {
    readonly stream: string;
    readonly range: LogRange;
    readonly timeoutMs: number;
  },
): ReturnType<LogService["read"]> {
  const { from, limit, waitMs = 0, signal } = options.range;
  const query = `from=${from}&limit=${limit}&wait_ms=${waitMs}`;
  const page = await connections.fetchJson({
    method: "GET",
    path: `/streams/${encodeURIComponent(options.stream)}/entries?${query}`,
    timeoutMs: options.timeoutMs + waitMs,
    maxAnswerBytes: maxPageBytes,
    signal,
    readOnly: true,
  }, pageSchema);
  const entries = page.entries.map((entry) => ({
    offset: entry.offset,
    timeMs: entry.time_ms,
    payload: entry.payload,
  }));
  return { entries, end: page.end, earliest: page.earliest };
}
