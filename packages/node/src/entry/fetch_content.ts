/** Fetches what another instance serves over HTTP. */
import { runWithTimeout } from "@trefoildoor/core";
import type { Channels } from "./channels.ts";

/** Path, connections and bounds of one fetch. */
export interface FetchContentOptions {
  readonly path: string;
  readonly timeoutMs: number;
  /** Longest content, in bytes. */
  readonly maxBytes: number;
  readonly channels: Channels;
  readonly signal: AbortSignal;
}

const ok = 200;

/** Fetches and parses JSON from an instance; rejects if there is no whole answer of at most `maxBytes` in time. */
export function fetchContent(
  address: string,
  options: FetchContentOptions,
): Promise<unknown> {
  return runWithTimeout(
    (signal) => readContent(address, { ...options, signal }),
    options,
  );
}

async function readContent(
  address: string,
  { path, maxBytes, channels, signal }: FetchContentOptions,
): Promise<unknown> {
  const answer = await channels.exchange(address, {
    method: "GET",
    path,
    signal,
  });
  const chunks: Buffer[] = [];
  let bytes = 0;
  for await (const chunk of answer.body) {
    chunks.push(chunk);
    bytes += chunk.length;
    if (bytes > maxBytes) throw new Error("content is too large");
  }
  if (answer.status !== ok) throw new Error(`peer answered ${answer.status}`);
  return JSON.parse(Buffer.concat(chunks).toString());
}
