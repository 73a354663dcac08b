/** Writes answers to callers, with a timeout for callers that stop reading. */
import { once } from "node:events";
import type { ServerResponse } from "node:http";
import { Outcome, outcomeHeader, type Refusal } from "@trefoildoor/core";
import {
  buildRefusalBody,
  buildRefusalHeaders,
  getHttpStatus,
} from "../request/refusals.ts";

/** Sends a complete JSON answer; the status is 200 by default. */
export function sendJson(
  response: ServerResponse,
  body: unknown,
  options: {
    readonly status?: number;
    readonly headers?: Readonly<Record<string, string>>;
  } = {},
): void {
  const text = JSON.stringify(body);
  response.writeHead(options.status ?? 200, {
    ...options.headers,
    "content-type": "application/json",
    "content-length": String(Buffer.byteLength(text)),
  });
  response.end(text);
}

/** Sends a refusal; does nothing once the caller has disconnected or headers were sent. */
export function sendRefusal(response: ServerResponse, refusal: Refusal): void {
  if (response.destroyed || response.headersSent) return;
  sendJson(response, buildRefusalBody(refusal), {
    status: getHttpStatus(refusal.reason),
    headers: buildRefusalHeaders(refusal),
  });
}

/** Server-sent events to one caller. */
export interface EventStream {
  /** Sends one data event; waits while the caller does not read. */
  readonly send: (data: unknown) => Promise<void>;
  /** Ends the stream with the outcome in a trailer; sends `[DONE]` only after `Outcome.Done`. */
  readonly close: (outcome: Outcome) => void;
}

/**
 * Starts a stream of server-sent events. When the caller reads nothing for
 * `writeTimeoutMs`, the connection is destroyed and `onStall` is called.
 */
export function openEventStream(
  response: ServerResponse,
  options: { readonly writeTimeoutMs: number; readonly onStall: () => void },
): EventStream {
  response.writeHead(200, {
    "content-type": "text/event-stream",
    "cache-control": "no-cache",
    trailer: outcomeHeader,
  });
  let corked = false;
  // Events of the same turn of the event loop are sent in one write.
  const corkUntilNextTurn = (): void => {
    if (corked) return;
    corked = true;
    response.cork();
    setImmediate(() => {
      corked = false;
      response.uncork();
    });
  };
  return {
    send: (data) => {
      corkUntilNextTurn();
      return writeWithTimeout(
        response,
        `data: ${JSON.stringify(data)}\n\n`,
        options,
      );
    },
    close(outcome): void {
      response.addTrailers({ [outcomeHeader]: outcome });
      response.end(outcome === Outcome.Done ? "data: [DONE]\n\n" : undefined);
    },
  };
}

async function writeWithTimeout(
  response: ServerResponse,
  text: string,
  options: { readonly writeTimeoutMs: number; readonly onStall: () => void },
): Promise<void> {
  if (response.destroyed) return;
  if (response.write(text)) return;
  const timer = setTimeout(() => {
    options.onStall();
    response.destroy();
  }, options.writeTimeoutMs);
  const waiting = new AbortController();
  const { signal } = waiting;
  // A destroyed response emits "close" and never "drain".
  const drained = once(response, "drain", { signal }).catch(() => undefined);
  const closed = once(response, "close", { signal }).catch(() => undefined);
  await Promise.race([drained, closed]);
  waiting.abort();
  clearTimeout(timer);
}
