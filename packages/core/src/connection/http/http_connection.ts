/**
 * HTTP connections to one address over undici. Every failure is a
 * `RemoteError` whose effect is `Effect.None` only when no byte of the request
 * was written or the other side said that nothing was done.
 */
import { type Dispatcher, Pool } from "undici";
import type { z } from "zod";
import {
  convertError,
  DeadlineError,
  readJson,
  readRefusal,
} from "./http_errors.ts";
import { observeSends, type SendTracker } from "./send_tracker.ts";

/** One HTTP call. */
export interface HttpCall {
  readonly method: string;
  /** Path with query. */
  readonly path: string;
  readonly headers?: Readonly<Record<string, string>>;
  /** Encoded body. */
  readonly body?: string;
  readonly signal?: AbortSignal;
  /** Longest time until the whole answer is there, in ms. */
  readonly timeoutMs?: number;
  /** True when the call changes nothing, so that its failure has no effect. */
  readonly readOnly?: boolean;
  /** Opens a connection for this call alone, past those that may be silent. */
  readonly fresh?: boolean;
}

/** Answer whose body is not read yet. */
export interface HttpAnswer {
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Dispatcher.ResponseData["body"];
}

/** Connections to one address. */
export interface HttpConnections {
  /** Sends a call; answers from status `refuseFrom` on (default 400) reject. */
  readonly send: (
    call: HttpCall,
    options?: { readonly refuseFrom?: number },
  ) => Promise<HttpAnswer>;
  /** Sends a call and parses the JSON answer. */
  readonly fetchJson: <S extends z.ZodType>(
    call: HttpCall,
    schema: S,
  ) => Promise<z.infer<S>>;
  /** Connections that are open and carry no call. */
  readonly countIdle: () => number;
  /** Uses new connections from now on; calls on the old ones go on. */
  readonly replace: () => void;
  readonly close: () => Promise<void>;
}

/** Settings of the connections to one address. */
export interface HttpConnectionOptions {
  /** Most open connections. */
  readonly maxConnections?: number;
  /** Longest time to open a connection, in ms. */
  readonly connectTimeoutMs?: number;
  /** Longest time until an answer begins, in ms; 0 for no limit. */
  readonly answerTimeoutMs?: number;
}

const defaultMaxConnections = 512;
const defaultConnectTimeoutMs = 2_000;
const defaultAnswerTimeoutMs = 30_000;
const defaultRefuseFrom = 400;
const keepAliveTimeoutMs = 50_000;
/** Opens connections to `IP:port` or an HTTP URL, each when it is first needed. */
export function openHttpConnections(
  address: string,
  options: HttpConnectionOptions = {},
): HttpConnections {
  let pool = openPool(address, options);
  const send: HttpConnections["send"] = async (call, sendOptions = {}) => {
    const tracker: SendTracker = { sent: false };
    const deadline = startDeadline(call);
    const used = call.fresh ? openPool(address, options) : pool;
    const release = (): void => {
      deadline.clear();
      if (call.fresh) used.destroy().catch(() => {});
    };
    try {
      const answer = await Promise.race([
        used.request({
          method: call.method as Dispatcher.HttpMethod,
          path: call.path,
          headers: call.headers,
          body: call.body,
          signal: deadline.signal,
          opaque: tracker,
        }),
        waitForUnsentAbort(tracker, deadline.signal),
      ]);
      answer.body.once("close", release);
      const refuseFrom = sendOptions.refuseFrom ?? defaultRefuseFrom;
      if (answer.statusCode >= refuseFrom) {
        throw await readRefusal(answer, call);
      }
      return {
        status: answer.statusCode,
        headers: convertHeaders(answer.headers),
        body: answer.body,
      };
    } catch (error) {
      release();
      throw convertError(error, { sent: tracker.sent, call });
    }
  };
  return {
    send,
    fetchJson: async (call, schema) => {
      const answer = await send(call);
      return await readJson(answer, { call, schema });
    },
    countIdle: () => pool.stats.free,
    replace: () => {
      const old = pool;
      pool = openPool(address, options);
      // Calls on the old connections end on their own.
      old.close().catch(() => {});
    },
    close: () => pool.destroy(),
  };
}

function openPool(address: string, options: HttpConnectionOptions): Pool {
  const pool = new Pool(buildOrigin(address), {
    connections: options.maxConnections ?? defaultMaxConnections,
    pipelining: 1,
    connect: { timeout: options.connectTimeoutMs ?? defaultConnectTimeoutMs },
    headersTimeout: options.answerTimeoutMs ?? defaultAnswerTimeoutMs,
    bodyTimeout: 0,
    keepAliveTimeout: keepAliveTimeoutMs,
  });
  return pool.compose(observeSends) as Pool;
}

function buildOrigin(address: string): string {
  return address.includes("://") ? address : `http://${address}`;
}

/** A call's signal, which its deadline aborts as well. */
interface Deadline {
  readonly signal: AbortSignal;
  readonly clear: () => void;
}

function startDeadline(call: HttpCall): Deadline {
  const controller = new AbortController();
  const abort = (): void => controller.abort(call.signal?.reason);
  const timer = call.timeoutMs === undefined ? undefined : setTimeout(
    () => controller.abort(new DeadlineError(call.timeoutMs ?? 0)),
    call.timeoutMs,
  );
  if (call.signal?.aborted) abort();
  else call.signal?.addEventListener("abort", abort, { once: true });
  return {
    signal: controller.signal,
    clear: () => {
      clearTimeout(timer);
      call.signal?.removeEventListener("abort", abort);
    },
  };
}

/** Rejects on abort while the call waits for a connection, which undici leaves pending. */
function waitForUnsentAbort(
  tracker: SendTracker,
  signal: AbortSignal,
): Promise<never> {
  return new Promise((_, reject) => {
    const rejectIfUnsent = (): void => {
      if (!tracker.sent) reject(signal.reason);
    };
    if (signal.aborted) rejectIfUnsent();
    else signal.addEventListener("abort", rejectIfUnsent, { once: true });
  });
}

function convertHeaders(
  headers: Readonly<Record<string, string | string[] | undefined>>,
): Record<string, string> {
  const entries = Object.entries(headers).flatMap(([name, value]) =>
    value === undefined ? [] : [[name, String(value)]]
  );
  return Object.fromEntries(entries);
}
