/**
 * Pool of HTTP connections to endpoints, the store and other instances. Each
 * connection carries one request at a time and stays open while idle. It is
 * not reused after a malformed, truncated, unframed or aborted response.
 */
import type { Socket } from "node:net";
import {
  buildInterimError,
  ConnectionAttempt,
  createInterimCounter,
  findHeadFault,
  isIpv4Address,
  maxHeadBytes,
  recordProgress,
  type RemoteError,
  watchResets,
} from "@trefoildoor/core";
import type { Client as UndiciClient, Dispatcher } from "undici";
import Client from "undici/lib/dispatcher/client.js";
import { createBody } from "./channel_body.ts";
import {
  convertError,
  createAbortError,
  createAddressError,
  createRefusal,
} from "./channel_errors.ts";
import {
  type ChannelObserver,
  type ChannelsOptions,
  openSocket,
  tryAddress,
} from "./channel_sockets.ts";

/** One HTTP request. */
export interface ChannelRequest {
  readonly method: string;
  /** Path and query. */
  readonly path: string;
  /** Names and values in turn; built when the connection is open, so that times in them are those of the write. */
  readonly buildHeaders?: () => readonly string[];
  /** Id that the response repeats, if requests have one; the request is not written to a connection that has brought a refusal of this id, as a copy of it would look like the response. */
  readonly id?: string;
  readonly body?: Buffer;
  readonly signal?: AbortSignal;
  /** Longest time for which the connection may have been idle, in ms. */
  readonly maxIdleMs?: number;
  /** Whether a connection is opened for this request alone; it is kept afterwards only if no other is. */
  readonly fresh?: boolean;
  /** Whether the connection must not have brought a refusal, whose copy could come in the place of the response. */
  readonly unrefused?: boolean;
  /** Called right before the request is written to the open connection; false ends it unsent and closes the connection. */
  readonly mayWrite?: () => boolean;
  /** Called once the operating system has the request, or as much of it as it takes at once. */
  readonly onWritten?: () => void;
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
  /** Responses that the connection had carried to their end before. */
  readonly earlierAnswers: number;
  /** Whether the connection has brought a refusal of a request with this id before. */
  readonly refusedBefore: boolean;
  readonly body: AsyncIterable<Buffer>;
  /** Closes the connection once the response has ended, instead of keeping it for later requests. */
  readonly closeAfterwards: () => void;
  /** Records that the server refused the request. */
  readonly recordRefusal: () => void;
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
  /** Tries to open a connection, which is closed again; fails after `timeoutMs`. */
  readonly probe: (
    address: string,
    timeoutMs: number,
  ) => Promise<ConnectionAttempt>;
  readonly close: () => void;
  readonly countOpened: () => number;
}

/** Idle time after which a connection is closed where the server states no keep-alive timeout, in ms. */
const idleTimeoutMs = 8_000;
/** Upper bound of a keep-alive timeout that the server states, in ms. */
const maxIdleTimeoutMs = 60_000;
/** Time before the server's keep-alive timeout at which a connection is closed, in ms. */
const idleTimeoutMarginMs = 800;
/** Maximum number of idle connections to one address; the longest idle one is closed first. */
const maxIdleChannels = 24;
/** Refused requests after which a connection is not used again, as their ids are kept. */
const maxRefusedIds = 32;
const framingHeaders = new Set(["content-length", "transfer-encoding"]);

interface Channel {
  readonly address: string;
  readonly client: UndiciClient;
  readonly socket: Socket;
  /** When it was opened, in ms of `performance.now()`. */
  readonly connectedMs: number;
  /** Whether the connection ended by a reset. */
  readonly wasReset: () => boolean;
  idleSinceMs: number;
  /** Responses that it has carried to their end. */
  answers: number;
  /** Ids of requests that were refused on it. */
  readonly refusedIds: Set<string>;
  /** Whether it is not used again. */
  spent: boolean;
  /** Whether it was opened for one request alone. */
  readonly single: boolean;
}

/** Creates an empty connection pool; connections are opened on demand. */
export function createChannels(options: ChannelsOptions = {}): Channels {
  const idle = new Map<string, Channel[]>();
  let opened = 0;
  let closed = false;

  async function openChannel(
    address: string,
    { signal, fresh = false }: ChannelRequest,
  ): Promise<Channel> {
    opened += 1;
    const socket = await openSocket(address, signal, options);
    const channel: Channel = {
      address,
      socket,
      client: createClient(address, socket),
      // Before the client's own listeners, which take a reset for the regular end
      // of a response without a content length.
      wasReset: watchResets(socket),
      connectedMs: performance.now(),
      idleSinceMs: performance.now(),
      answers: 0,
      refusedIds: new Set(),
      spent: false,
      single: fresh,
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

  /** Takes the newest idle connection to an address that the request may use; undefined if there is none. */
  function claimIdle(
    address: string,
    { id, unrefused, maxIdleMs = Infinity }: ChannelRequest,
  ): Channel | undefined {
    const pooled = idle.get(address) ?? [];
    const oldestMs = performance.now() - maxIdleMs;
    // The most recently used connection is the most likely to be still open.
    for (let index = pooled.length - 1; index >= 0; index--) {
      const channel = pooled[index];
      if (!channel || channel.idleSinceMs < oldestMs) break;
      if (id !== undefined && channel.refusedIds.has(id)) continue;
      if (unrefused && channel.refusedIds.size > 0) continue;
      pooled.splice(index, 1);
      if (!channel.socket.destroyed) return channel;
      closeChannel(channel);
    }
    // The new connection takes its place.
    if (unrefused && pooled[0]) dropChannel(pooled[0]);
    return undefined;
  }

  function releaseChannel(channel: Channel): void {
    const { socket } = channel;
    // A server that answers early may not have read the whole request.
    const usable = !socket.destroyed && socket.writableLength === 0;
    const isExtra = channel.single && idle.has(channel.address);
    if (!usable || closed || channel.spent || isExtra) {
      return closeChannel(channel);
    }
    channel.idleSinceMs = performance.now();
    keepIdle(channel);
  }

  function keepIdle(channel: Channel): void {
    const pooled = idle.get(channel.address) ?? [];
    pooled.push(channel);
    idle.set(channel.address, pooled);
    if (pooled.length > maxIdleChannels) {
      const oldest = pooled.shift();
      if (oldest) closeChannel(oldest);
    }
  }

  /** Does not use a channel again; an idle one is closed at once. */
  function dropChannel(channel: Channel): void {
    channel.spent = true;
    removeIdle(channel);
  }

  return {
    async exchange(address, request): Promise<ChannelAnswer> {
      if (!isIpv4Address(address)) throw createAddressError(address);
      const idleChannel = request.fresh
        ? undefined
        : claimIdle(address, request);
      const channel = idleChannel ?? await openChannel(address, request);
      return await runExchange(channel, request, {
        onFree: releaseChannel,
        onSpent: dropChannel,
        observer: options.observer,
      });
    },
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
    probe: async (address, timeoutMs) =>
      isIpv4Address(address)
        ? await tryAddress(address, timeoutMs, options)
        : ConnectionAttempt.Failed,
    close(): void {
      closed = true;
      for (const channel of [...idle.values()].flat()) closeChannel(channel);
      idle.clear();
    },
    countOpened: () => opened,
  };
}

function createClient(address: string, socket: Socket): UndiciClient {
  return new Client(`http://${address}`, {
    pipelining: 1,
    maxHeaderSize: maxHeadBytes,
    headersTimeout: 0,
    bodyTimeout: 0,
    keepAliveTimeout: idleTimeoutMs,
    keepAliveMaxTimeout: maxIdleTimeoutMs,
    keepAliveTimeoutThreshold: idleTimeoutMarginMs,
    // In a microtask: the client is not ready for an answer within its call.
    connect: (_options, callback) =>
      queueMicrotask(() =>
        socket.destroyed
          ? callback(new Error("connection is closed"), null)
          : callback(null, socket)
      ),
  });
}

function closeChannel(channel: Channel): void {
  channel.client.destroy().catch(() => undefined);
  // The client takes the socket over with its first request only.
  channel.socket.destroy();
}

/** Runs one request on a channel; calls `onFree` when the channel can be reused. */
function runExchange(
  channel: Channel,
  request: ChannelRequest,
  options: {
    readonly onFree: (channel: Channel) => void;
    readonly onSpent: (channel: Channel) => void;
    readonly observer?: ChannelObserver;
  },
): Promise<ChannelAnswer> {
  return new Promise((resolve, reject) => {
    const body = createBody(() => closeChannel(channel));
    let sent = false;
    let headReceived = false;
    const countInterim = createInterimCounter();
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

    if (signal?.aborted) return abort();
    signal?.addEventListener("abort", abort, { once: true });
    body.onAbandoned = () =>
      failExchange(convertError(new Error("answer was given up"), sent));
    channel.client.dispatch({
      method: request.method as Dispatcher.HttpMethod,
      path: request.path,
      headers: [...request.buildHeaders?.() ?? []],
      body: request.body && request.body.length > 0 ? request.body : null,
    }, {
      onRequestStart(started): void {
        body.controller = started;
        // The client takes a turn of the event loop or more until it writes.
        if (!ended && request.mayWrite?.() === false) {
          failExchange(createRefusal());
        }
        if (ended) return started.abort(new Error("call was given up"));
        sent = true;
        recordProgress(channel.socket);
        options.observer?.onSent(channel.address);
        // The client writes right after this call.
        queueMicrotask(() => request.onWritten?.());
      },
      onResponseStart(started, status): void {
        options.observer?.onContact(channel.address, channel.connectedMs);
        if (ended) return;
        const raw = started.rawHeaders as readonly Buffer[] | null;
        const headers = (raw ?? []).map((each) => each.toString("latin1"));
        const fault = findHeadFault(status, getTransferEncoding(headers));
        if (fault !== undefined) return started.abort(new Error(fault));
        if (!countInterim(status)) return started.abort(buildInterimError());
        if (status < 200) return;
        headReceived = true;
        recordProgress(channel.socket);
        const { connectedMs, answers, refusedIds } = channel;
        const { id } = request;
        resolve({
          status,
          headers,
          framed: isFramed(headers),
          connectedMs,
          earlierAnswers: answers,
          refusedBefore: id !== undefined && refusedIds.has(id),
          body,
          closeAfterwards: () => options.onSpent(channel),
          recordRefusal: () => {
            if (id !== undefined) refusedIds.add(id);
            if (refusedIds.size >= maxRefusedIds) options.onSpent(channel);
          },
        });
      },
      onResponseData(_started, chunk): void {
        options.observer?.onContact(channel.address, channel.connectedMs);
        recordProgress(channel.socket);
        body.add(chunk);
      },
      onResponseEnd(): void {
        // The client also reports a response without a content length as complete
        // when the connection was reset.
        if (channel.wasReset() || !headReceived) {
          return failExchange(
            convertError(new Error("answer was cut off by a reset"), sent),
          );
        }
        if (!markEnded()) return;
        channel.answers += 1;
        body.end();
        // The client first checks for unexpected further bytes on the connection.
        setImmediate(() => options.onFree(channel));
      },
      onResponseError: (_started, error) =>
        failExchange(convertError(error, sent)),
    });
  });
}

/** Values of `Transfer-Encoding`, joined by commas; undefined if there are none. */
function getTransferEncoding(headers: readonly string[]): string | undefined {
  const values = headers.filter((_value, index) =>
    index % 2 === 1 && headers[index - 1]?.toLowerCase() === "transfer-encoding"
  );
  return values.length === 0 ? undefined : values.join(", ");
}

function isFramed(headers: readonly string[]): boolean {
  return headers.some((name, index) =>
    index % 2 === 0 && framingHeaders.has(name.toLowerCase())
  );
}
