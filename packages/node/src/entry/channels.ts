/**
 * Connections to endpoints and to the store: one call at a time on each, kept
 * open while idle. A connection whose answer was wrong, torn, unframed or
 * given up is never used again.
 */
import { connect, type Socket } from "node:net";
import { Effect, RemoteError, RemoteFailure } from "@trefoildoor/core";
import type { Client as UndiciClient, Dispatcher } from "undici";
import Client from "undici/lib/dispatcher/client.js";

/** One HTTP call. */
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
}

/** An answer while its body arrives. */
export interface ChannelAnswer {
  readonly status: number;
  /** Names and values in turn. */
  readonly headers: readonly string[];
  /** Whether it says where its body ends; otherwise that is the connection's end. */
  readonly framed: boolean;
  readonly body: AsyncIterable<Buffer>;
}

/** Connections of one process. */
export interface Channels {
  /** Rejects with `RemoteError`; its effect is `None` only where nothing was sent. */
  readonly exchange: (
    address: string,
    request: ChannelRequest,
  ) => Promise<ChannelAnswer>;
  /** Whether a connection to an address is idle, for `maxIdleMs` at most. */
  readonly hasIdle: (address: string, maxIdleMs?: number) => boolean;
  /** Closes idle connections to an address that is no longer used. */
  readonly forget: (address: string) => void;
  readonly close: () => void;
  readonly countOpened: () => number;
}

/** Time for a connection to be established, in ms: round trips are below 20 ms. */
const connectTimeoutMs = 800;
/** Idle time after which a connection is closed where the endpoint states none, in ms. */
const idleTimeoutMs = 8_000;
const longestIdleMs = 60_000;
/** Time before the endpoint's own idle time-out at which a connection is closed, in ms. */
const idleMarginMs = 800;
/** Idle connections kept to one address. */
const maxIdleChannels = 24;
/** Time after which the kernel probes an idle connection, in ms. */
const probeAfterMs = 2_000;

const framingHeaders = new Set(["content-length", "transfer-encoding"]);

interface Channel {
  readonly address: string;
  readonly client: UndiciClient;
  socket?: Socket;
  /** Whether the connection ended by a reset. */
  broken: boolean;
  idleSinceMs: number;
}

/** Creates an empty set of connections. */
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
        keepAliveMaxTimeout: longestIdleMs,
        keepAliveTimeoutThreshold: idleMarginMs,
        connect: (_options, callback) =>
          openSocket(channel, callback as SocketCallback),
      }),
      broken: false,
      idleSinceMs: performance.now(),
    };
    channel.client.on("disconnect", () => removeIdle(channel));
    return channel;
  }

  function removeIdle(channel: Channel): void {
    const known = idle.get(channel.address);
    const index = known?.indexOf(channel) ?? -1;
    if (known && index >= 0) known.splice(index, 1);
    if (known?.length === 0) idle.delete(channel.address);
    if (index >= 0) closeChannel(channel);
  }

  function takeChannel(address: string, maxIdleMs = Infinity): Channel {
    const known = idle.get(address) ?? [];
    const oldestMs = performance.now() - maxIdleMs;
    // The most recently used one is the likeliest to be alive.
    while (known.length > 0) {
      const channel = known.at(-1);
      if (!channel || channel.idleSinceMs < oldestMs) break;
      known.pop();
      if (channel.socket && !channel.socket.destroyed) return channel;
      closeChannel(channel);
    }
    return openChannel(address);
  }

  function releaseChannel(channel: Channel): void {
    const { socket } = channel;
    // An endpoint that answered early has not read the whole call yet.
    const usable = socket && !socket.destroyed && socket.writableLength === 0;
    if (!usable || closed) return closeChannel(channel);
    channel.idleSinceMs = performance.now();
    const known = idle.get(channel.address) ?? [];
    known.push(channel);
    idle.set(channel.address, known);
    if (known.length > maxIdleChannels) {
      const oldest = known.shift();
      if (oldest) closeChannel(oldest);
    }
  }

  return {
    exchange: (address, request) =>
      runExchange(takeChannel(address, request.maxIdleMs), request, {
        onFree: releaseChannel,
      }),
    hasIdle(address, maxIdleMs = Infinity): boolean {
      const newest = idle.get(address)?.at(-1);
      return newest !== undefined &&
        performance.now() - newest.idleSinceMs <= maxIdleMs;
    },
    forget(address): void {
      const known = idle.get(address) ?? [];
      idle.delete(address);
      for (const channel of known) closeChannel(channel);
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
  // Seen before the client's own listener, which takes a reset for a clean end
  // of an answer without length.
  socket.on("error", () => {
    channel.broken = true;
  });
  socket.once("error", fail);
  socket.once("connect", () => {
    clearTimeout(timer);
    socket.removeListener("error", fail);
    socket.setKeepAlive(true, probeAfterMs);
    channel.socket = socket;
    callback(null, socket);
  });
}

function closeChannel(channel: Channel): void {
  channel.client.destroy().catch(() => undefined);
}

/** Runs one call on a channel and hands the channel back once it is free. */
function runExchange(
  channel: Channel,
  request: ChannelRequest,
  options: { readonly onFree: (channel: Channel) => void },
): Promise<ChannelAnswer> {
  return new Promise((resolve, reject) => {
    const body = createBody(channel);
    let sent = false;
    let headed = false;
    let ended = false;
    const { signal } = request;
    const abort = (): void => breakOff(createAbortError(signal, sent));

    function setEnded(): boolean {
      if (ended) return false;
      ended = true;
      signal?.removeEventListener("abort", abort);
      return true;
    }

    function breakOff(error: RemoteError): void {
      if (!setEnded()) return;
      closeChannel(channel);
      if (headed) body.fail(error);
      else reject(error);
    }

    function convert(error: unknown): RemoteError {
      return new RemoteError(
        error instanceof Error ? error.message : String(error),
        {
          failure: RemoteFailure.Unreachable,
          effect: sent ? Effect.Unknown : Effect.None,
          cause: error,
        },
      );
    }

    if (signal?.aborted) return abort();
    signal?.addEventListener("abort", abort, { once: true });
    body.onGivenUp = () => breakOff(convert(new Error("answer was given up")));
    channel.client.dispatch({
      method: request.method as Dispatcher.HttpMethod,
      path: request.path,
      headers: [...request.headers],
      body: request.body && request.body.length > 0 ? request.body : null,
    }, {
      onRequestStart(started): void {
        body.controller = started;
        if (ended) return started.abort(new Error("call was given up"));
        sent = true;
      },
      onResponseStart(started, status): void {
        if (ended) return;
        if (status < 200) return;
        headed = true;
        const raw = started.rawHeaders as readonly Buffer[] | null;
        const headers = (raw ?? []).map((each) => each.toString("latin1"));
        resolve({ status, headers, framed: isFramed(headers), body });
      },
      onResponseData: (_started, chunk) => body.add(chunk),
      onResponseEnd(): void {
        // Data of an answer without length may end by a reset.
        if (channel.broken || !headed) {
          return breakOff(convert(new Error("answer was cut off by a reset")));
        }
        if (!setEnded()) return;
        body.end();
        // The client looks at the next bytes of the connection first.
        setImmediate(() => options.onFree(channel));
      },
      onResponseError: (_started, error) => breakOff(convert(error)),
    });
  });
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

/** Bytes that may wait for the reader before the connection is paused. */
const maxWaitingBytes = 128 * 1_024;

interface Body extends AsyncIterable<Buffer> {
  controller?: Dispatcher.DispatchController;
  onGivenUp: () => void;
  readonly add: (chunk: Buffer) => void;
  readonly end: () => void;
  readonly fail: (error: Error) => void;
}

/** The body of one answer: read once, in order, with back-pressure. */
function createBody(channel: Channel): Body {
  const chunks: Buffer[] = [];
  let waitingBytes = 0;
  let done = false;
  let error: Error | undefined;
  let wake: (() => void) | undefined;

  function tell(): void {
    wake?.();
    wake = undefined;
  }

  async function readNext(): Promise<IteratorResult<Buffer, undefined>> {
    while (true) {
      const chunk = chunks.shift();
      if (chunk) {
        waitingBytes -= chunk.length;
        if (waitingBytes <= maxWaitingBytes) body.controller?.resume();
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
      if (!done && !error) body.onGivenUp();
      return Promise.resolve({ done: true, value: undefined });
    },
  };
  const body: Body = {
    onGivenUp: () => closeChannel(channel),
    add(chunk): void {
      chunks.push(chunk);
      waitingBytes += chunk.length;
      if (waitingBytes > maxWaitingBytes) body.controller?.pause();
      tell();
    },
    end: () => {
      done = true;
      tell();
    },
    fail: (failure) => {
      error = failure;
      tell();
    },
    [Symbol.asyncIterator]: () => iterator,
  };
  return body;
}
