/**
 * HTTP connections to one address over undici. Every failure is a
 * `RemoteError` whose effect is `Effect.None` only when no byte of the request
 * was written or the other side said that nothing was done.
 */
import { connect } from "node:net";
import { type Dispatcher, Pool } from "undici";
import type { z } from "zod";
import { startPolledTimer } from "../../shared/index.ts";
import { RemoteError, RemoteFailure } from "../../types/effects.ts";
import { createCarefulClient } from "./careful_client.ts";
import {
  convertError,
  DeadlineError,
  readJson,
  readRefusal,
} from "./http_errors.ts";
import { observeSends, type SendTracker } from "./send_tracker.ts";
import { ConnectionAttempt, tryConnection } from "./try_connection.ts";

/** One HTTP call. */
export interface HttpCall {
  readonly method: string;
  /** Path with query. */
  readonly path: string;
  readonly headers?: Readonly<Record<string, string>>;
  /** Encoded body. */
  readonly body?: string;
  readonly signal?: AbortSignal;
  /** Maximum time until the answer is complete, in ms. */
  readonly timeoutMs?: number;
  /** True when the call changes nothing, so that its failure has no effect. */
  readonly readOnly?: boolean;
  /** Asked immediately before the first byte is written; where it returns false, the call is not sent and has no effect. */
  readonly mayWrite?: () => boolean;
  /** Maximum size of a JSON answer, in bytes; 1 MB if absent. */
  readonly maxAnswerBytes?: number;
  /** Opens a connection for this call alone, because pooled ones may be unresponsive. */
  readonly fresh?: boolean;
  /** Uses a connection that carries no other call, within the maximum number of connections, so that what comes back there can be no other call's. */
  readonly single?: boolean;
}

/** Answer whose body has not been read yet. */
export interface HttpAnswer {
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Dispatcher.ResponseData["body"];
}

/** Connections to one address. */
export interface HttpConnections {
  /** Sends a call; rejects with `RemoteError`, also on a status of `minErrorStatus` (default 400) or higher. */
  readonly send: (
    call: HttpCall,
    options?: { readonly minErrorStatus?: number },
  ) => Promise<HttpAnswer>;
  /** Sends a call and parses the JSON answer. */
  readonly fetchJson: <S extends z.ZodType>(
    call: HttpCall,
    schema: S,
  ) => Promise<z.infer<S>>;
  /** Whether nothing listens at the address any more; resolves in a fraction of a second. */
  readonly hasEnded: () => Promise<boolean>;
  /** Connections that are open and carry no call. */
  readonly countIdle: () => number;
  /** Opens new connections for later calls; calls in flight continue on the previous ones. */
  readonly replace: () => void;
  readonly close: () => Promise<void>;
}

/** Settings of the connections to one address. */
export interface HttpConnectionOptions {
  /** Maximum number of open connections. */
  readonly maxConnections?: number;
  /** Maximum time to open a connection, in ms. */
  readonly connectTimeoutMs?: number;
  /** Maximum time until an answer begins, in ms; 0 for no limit. */
  readonly answerTimeoutMs?: number;
  /** Whether a JSON call that times out makes later calls open new connections, as the pooled ones may be silent as well. */
  readonly replacesAfterTimeout?: boolean;
}

const defaultMaxConnections = 512;
const defaultConnectTimeoutMs = 2_000;
const defaultAnswerTimeoutMs = 30_000;
const attemptTimeoutMs = 200;
const defaultMinErrorStatus = 400;
const keepAliveTimeoutMs = 50_000;

/** Opens connections to `IP:port` or an HTTP URL, each on first use. */
export function openHttpConnections(
  address: string,
  options: HttpConnectionOptions = {},
): HttpConnections {
  let pool = openPool(address, options);
  const singles = openPool(address, options);
  const send: HttpConnections["send"] = async (call, sendOptions = {}) => {
    const tracker: SendTracker = { sent: false, mayWrite: call.mayWrite };
    const deadline = startDeadline(call);
    const pooled = call.single ? singles : pool;
    const callPool = call.fresh ? openPool(address, options) : pooled;
    const release = (): void => {
      deadline.clear();
      if (call.fresh) callPool.destroy().catch(() => {});
    };
    try {
      const answer = await Promise.race([
        callPool.request({
          method: call.method as Dispatcher.HttpMethod,
          path: call.path,
          headers: call.headers,
          body: call.body,
          signal: deadline.signal,
          opaque: tracker,
          reset: call.single,
        }),
        waitForUnsentAbort(tracker, deadline.signal),
      ]);
      answer.body.once("close", release);
      const minErrorStatus = sendOptions.minErrorStatus ??
        defaultMinErrorStatus;
      if (answer.statusCode >= minErrorStatus) {
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
  const replace = (): void => {
    const previous = pool;
    pool = openPool(address, options);
    // Calls in flight run to their end before the pool closes.
    previous.close().catch(() => {});
  };
  return {
    send,
    fetchJson: async (call, schema) => {
      const usedPool = pool;
      try {
        const answer = await send(call);
        return await readJson(answer, { call, schema });
      } catch (error) {
        const timedOut = error instanceof RemoteError &&
          error.failure === RemoteFailure.Timeout;
        const needsNew = options.replacesAfterTimeout && timedOut;
        if (needsNew && pool === usedPool) replace();
        throw error;
      }
    },
    hasEnded: async () => {
      const { hostname, port } = new URL(buildOrigin(address));
      const host = hostname.replace(/^\[|\]$/g, "");
      const socket = connect({ host, port: Number(port) });
      return await tryConnection(socket, attemptTimeoutMs) ===
        ConnectionAttempt.Refused;
    },
    countIdle: () => pool.stats.free,
    replace,
    close: async () => {
      await Promise.all([pool.destroy(), singles.destroy()]);
    },
  };
}

function openPool(address: string, options: HttpConnectionOptions): Pool {
  const pool = new Pool(buildOrigin(address), {
    connections: options.maxConnections ?? defaultMaxConnections,
    pipelining: 1,
    factory: (origin, clientOptions) =>
      createCarefulClient(origin, clientOptions, {
        timeoutMs: options.connectTimeoutMs ?? defaultConnectTimeoutMs,
      }),
    headersTimeout: options.answerTimeoutMs ?? defaultAnswerTimeoutMs,
    bodyTimeout: 0,
    keepAliveTimeout: keepAliveTimeoutMs,
  });
  return pool.compose(observeSends) as Pool;
}

function buildOrigin(address: string): string {
  return address.includes("://") ? address : `http://${address}`;
}

/** Signal that aborts with the call's own signal or when its time limit expires. */
interface Deadline {
  readonly signal: AbortSignal;
  readonly clear: () => void;
}

function startDeadline(call: HttpCall): Deadline {
  const controller = new AbortController();
  const abort = (): void => controller.abort(call.signal?.reason);
  const timer = call.timeoutMs === undefined ? undefined : startPolledTimer(
    () => controller.abort(new DeadlineError(call.timeoutMs ?? 0)),
    call.timeoutMs,
  );
  if (call.signal?.aborted) abort();
  else call.signal?.addEventListener("abort", abort, { once: true });
  return {
    signal: controller.signal,
    clear: () => {
      timer?.cancel();
      call.signal?.removeEventListener("abort", abort);
    },
  };
}

/** Rejects on abort while the call waits for a connection; undici would leave it pending. */
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
