/**
 * Pool of HTTP connections to endpoints, the store and other instances. Each
 * connection carries one request at a time and stays open while idle. It is
 * not reused after a malformed, truncated, unframed or aborted response.
 */
import { connect, type Socket } from "node:net";
import { Effect, RemoteError, RemoteFailure } from "@trefoildoor/core";
import type { Client as UndiciClient, Dispatcher } from "undici";
import Client from "undici/lib/dispatcher/client.js";

/** One HTTP request. */
export interface ChannelRequest {
  readonly method: string;
  /** Path and query. */
  readonly path: string;
  /** Names and values in turn. */
  readonly headers: readonly string[];
  readonly body?: Buffer;
  readonly signal?: AbortSignal;
  /** Longest time for which the connection may have been idle, in ms. */
  readonly maxIdleMs?: number;
  /** Called when the connection is open and nothing is sent yet; false ends the request unsent. */
  readonly isAllowed?: () => boolean;
}

/** A response whose head has arrived; its body is read as a stream. */
export interface ChannelAnswer {
  readonly status: number;
  /** Names and values in turn. */
  readonly headers: readonly string[];
  /** Whether a header states the body's length or encoding; otherwise the body ends with the connection. */
  readonly framed: boolean;
  /** When the connection was opened, in ms of `performance.now()`. */
  readonly connectedMs: number;
  readonly body: AsyncIterable<Buffer>;
}

/** The connection pool of one process. */
export interface Channels {
  /** Rejects with `RemoteError`; its effect is `None` only where nothing was sent. */
  readonly exchange: (
    address: string,
    request: ChannelRequest,
  ) => Promise<ChannelAnswer>;
  /** Whether a connection to an address is open and has been idle for at most `maxIdleMs`. */
  readonly hasIdle: (address: string, maxIdleMs?: number) => boolean;
  /** Closes idle connections to an address that is no longer used. */
  readonly closeIdle: (address: string) => void;
  readonly close: () => void;
  readonly countOpened: () => number;
}

/** Timeout for establishing a connection, in ms; round trips are below 20 ms. */
const connectTimeoutMs = 800;
/** Idle time after which a connection is closed where the server states no keep-alive timeout, in ms. */
const idleTimeoutMs = 8_000;
/** Upper bound of a keep-alive timeout that the server states, in ms. */
const maxIdleTimeoutMs = 60_000;
/** Time before the server's keep-alive timeout at which a connection is closed, in ms. */
const idleTimeoutMarginMs = 800;
/** Maximum number of idle connections to one address; the longest idle one is closed first. */
const maxIdleChannels = 24;
/** Idle time before the kernel sends TCP keep-alive probes, in ms. */
const keepAliveProbeDelayMs = 2_000;

const framingHeaders = new Set(["content-length", "transfer-encoding"]);

interface Channel {
  readonly address: string;
  readonly client: UndiciClient;
  socket?: Socket;
  /** Whether the connection ended by a reset. */
  wasReset: boolean;
  connectedMs: number;
  idleSinceMs: number;
}

/** Creates an empty connection pool; connections are opened on demand. */
export function createChannels(): Channels {
  const idle = new Map<string, Channel[]>();
  let opened = 0;
  let closed = false;

  function openChannel(address: string): Channel {
    opened += 1;
    const channel: Channel = {
      address,
      client: new Client(`http://${address}`, {
        pipelining: 1,
        headersTimeout: 0,
        bodyTimeout: 0,
        keepAliveTimeout: idleTimeoutMs,
        keepAliveMaxTimeout: maxIdleTimeoutMs,
        keepAliveTimeoutThreshold: idleTimeoutMarginMs,
        connect: (_options, callback) =>
          openSocket(channel, callback as SocketCallback),
      }),
      wasReset: false,
      connectedMs: Infinity,
      idleSinceMs: performance.now(),
    };
    channel.client.on("disconnect", () => removeIdle(channel));
    return channel;
  }

  function removeIdle(channel: Channel): void {
    const pooled = idle.get(channel.address);
    const index = pooled?.indexOf(channel) ?? -1;
    if (pooled && index >= 0) pooled.splice(index, 1);
    if (pooled?.length === 0) idle.delete(channel.address);
    if (index >= 0) closeChannel(channel);
  }

  function claimChannel(address: string, maxIdleMs = Infinity): Channel {
    const pooled = idle.get(address) ?? [];
    const oldestMs = performance.now() - maxIdleMs;
    // The most recently used connection is the most likely to be still open.
    while (pooled.length > 0) {
      const channel = pooled.at(-1);
      if (!channel || channel.idleSinceMs < oldestMs) break;
      pooled.pop();
      if (channel.socket && !channel.socket.destroyed) return channel;
      closeChannel(channel);
    }
    return openChannel(address);
  }

  function releaseChannel(channel: Channel): void {
    const { socket } = channel;
    // A server that answers early may not have read the whole request.
    const usable = socket && !socket.destroyed && socket.writableLength === 0;
    if (!usable || closed) return closeChannel(channel);
    channel.idleSinceMs = performance.now();
    const pooled = idle.get(channel.address) ?? [];
    pooled.push(channel);
    idle.set(channel.address, pooled);
    if (pooled.length > maxIdleChannels) {
      const oldest = pooled.shift();
      if (oldest) closeChannel(oldest);
    }
  }

  return {
    exchange: (address, request) =>
      runExchange(claimChannel(address, request.maxIdleMs), request, {
        onFree: releaseChannel,
      }),
    hasIdle(address, maxIdleMs = Infinity): boolean {
      const newest = idle.get(address)?.at(-1);
      return newest !== undefined &&
        performance.now() - newest.idleSinceMs <= maxIdleMs;
    },
    closeIdle(address): void {
      const pooled = idle.get(address) ?? [];
      idle.delete(address);
      for (const channel of pooled) closeChannel(channel);
    },
    close(): void {
      closed = true;
      for (const channel of [...idle.values()].flat()) closeChannel(channel);
      idle.clear();
    },
    countOpened: () => opened,
  };
}

type SocketCallback = (error: Error | null, socket: Socket | null) => void;

function openSocket(channel: Channel, callback: SocketCallback): void {
  const [host = "", port = ""] = channel.address.split(":");
  const socket = connect({ host, port: Number(port), noDelay: true });
  const timer = setTimeout(
    () => socket.destroy(new Error("connection was not established in time")),
    connectTimeoutMs,
  );
  const fail = (error: Error): void => {
    clearTimeout(timer);
    callback(error, null);
  };
  // Runs before the client's own listener, which treats a reset as the regular
  // end of a response without a content length.
  socket.on("error", () => {
    channel.wasReset = true;
  });
  socket.once("error", fail);
  socket.once("connect", () => {
    clearTimeout(timer);
    socket.removeListener("error", fail);
    socket.setKeepAlive(true, keepAliveProbeDelayMs);
    channel.socket = socket;
    channel.connectedMs = performance.now();
    callback(null, socket);
  });
}

function closeChannel(channel: Channel): void {
  channel.client.destroy().catch(() => undefined);
}

/** Runs one request on a channel; calls `onFree` when the channel can be reused. */
function runExchange(
  channel: Channel,
  request: ChannelRequest,
  options: { readonly onFree: (channel: Channel) => void },
): Promise<ChannelAnswer> {
  return new Promise((resolve, reject) => {
    const body = createBody(channel);
    let sent = false;
    let headReceived = false;
    let ended = false;
    const { signal } = request;
    const abort = (): void => failExchange(createAbortError(signal, sent));

    /** Returns false if the exchange had already ended. */
    function markEnded(): boolean {
      if (ended) return false;
      ended = true;
      signal?.removeEventListener("abort", abort);
      return true;
    }

    function failExchange(error: RemoteError): void {
      if (!markEnded()) return;
      closeChannel(channel);
      if (headReceived) body.fail(error);
      else reject(error);
    }

    function convertError(error: unknown): RemoteError {
      return new RemoteError(
        error instanceof Error ? error.message : String(error),
        {
          failure: classifyError(error),
          effect: sent ? Effect.Unknown : Effect.None,
          cause: error,
        },
      );
    }

    if (signal?.aborted) return abort();
    signal?.addEventListener("abort", abort, { once: true });
    body.onAbandoned = () =>
      failExchange(convertError(new Error("answer was given up")));
    channel.client.dispatch({
      method: request.method as Dispatcher.HttpMethod,
      path: request.path,
      headers: [...request.headers],
      body: request.body && request.body.length > 0 ? request.body : null,
    }, {
      onRequestStart(started): void {
        body.controller = started;
        if (request.isAllowed?.() === false) failExchange(createRefusal());
        if (ended) return started.abort(new Error("call was given up"));
        sent = true;
      },
      onResponseStart(started, status): void {
        if (ended) return;
        if (status < 200) return;
        headReceived = true;
        const raw = started.rawHeaders as readonly Buffer[] | null;
        const headers = (raw ?? []).map((each) => each.toString("latin1"));
        const { connectedMs } = channel;
        resolve({
          status,
          headers,
          framed: isFramed(headers),
          connectedMs,
          body,
        });
      },
      onResponseData: (_started, chunk) => body.add(chunk),
      onResponseEnd(): void {
        // The client also reports a response without a content length as complete
        // when the connection was reset.
        if (channel.wasReset || !headReceived) {
          return failExchange(
            convertError(new Error("answer was cut off by a reset")),
          );
        }
        if (!markEnded()) return;
        body.end();
        // The client first checks for unexpected further bytes on the connection.
        setImmediate(() => options.onFree(channel));
      },
      onResponseError: (_started, error) => failExchange(convertError(error)),
    });
  });
}

function classifyError(error: unknown): RemoteFailure {
  const { code } = error as NodeJS.ErrnoException;
  return code === "ECONNREFUSED"
    ? RemoteFailure.NotListening
    : RemoteFailure.Unreachable;
}

function isFramed(headers: readonly string[]): boolean {
  return headers.some((name, index) =>
    index % 2 === 0 && framingHeaders.has(name.toLowerCase())
  );
}

function createAbortError(
  signal: AbortSignal | undefined,
  sent: boolean,
): RemoteError {
  const timedOut = signal?.reason instanceof DOMException &&
    signal.reason.name === "TimeoutError";
  return new RemoteError(
    timedOut ? "no answer in time" : "call was given up",
    {
      failure: timedOut ? RemoteFailure.Timeout : RemoteFailure.Aborted,
      effect: sent ? Effect.Unknown : Effect.None,
      cause: signal?.reason,
    },
  );
}

function createRefusal(): RemoteError {
  return new RemoteError("endpoint takes no more work", {
    failure: RemoteFailure.Refused,
    effect: Effect.None,
  });
}

/** Unread bytes of a response above which reading from the connection is paused. */
const maxBufferedBytes = 128 * 1_024;

interface Body extends AsyncIterable<Buffer> {
  controller?: Dispatcher.DispatchController;
  onAbandoned: () => void;
  readonly add: (chunk: Buffer) => void;
  readonly end: () => void;
  readonly fail: (error: Error) => void;
}

/** Creates the body of one response: an iterator for one reader, with back-pressure. */
function createBody(channel: Channel): Body {
  const chunks: Buffer[] = [];
  let bufferedBytes = 0;
  let done = false;
  let error: Error | undefined;
  let wake: (() => void) | undefined;

  function notifyReader(): void {
    wake?.();
    wake = undefined;
  }

  async function readNext(): Promise<IteratorResult<Buffer, undefined>> {
    while (true) {
      const chunk = chunks.shift();
      if (chunk) {
        bufferedBytes -= chunk.length;
        if (bufferedBytes <= maxBufferedBytes) body.controller?.resume();
        return { done: false, value: chunk };
      }
      if (error) throw error;
      if (done) return { done: true, value: undefined };
      await new Promise<void>((resolve) => wake = resolve);
    }
  }

  const iterator: AsyncIterator<Buffer, undefined> = {
    next: readNext,
    return: () => {
      if (!done && !error) body.onAbandoned();
      return Promise.resolve({ done: true, value: undefined });
    },
  };
  const body: Body = {
    onAbandoned: () => closeChannel(channel),
    add(chunk): void {
      chunks.push(chunk);
      bufferedBytes += chunk.length;
      if (bufferedBytes > maxBufferedBytes) body.controller?.pause();
      notifyReader();
    },
    end: () => {
      done = true;
      notifyReader();
    },
    fail: (failure) => {
      error = failure;
      notifyReader();
    },
    [Symbol.asyncIterator]: () => iterator,
  };
  return body;
}
