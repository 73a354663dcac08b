/** Opens and observes the sockets of pooled connections. */
import { connect, type Socket, type TcpNetConnectOpts } from "node:net";
import {
  boundedReads,
  type ConnectionAttempt,
  startPolledTimer,
  tryConnection,
} from "@trefoildoor/core";
import { convertError, createAbortError } from "./channel_errors.ts";

/** What happens on connections, by address. */
export interface ChannelObserver {
  /** Bytes of an answer arrived, on a connection opened at `connectedMs` of `performance.now()`. */
  readonly onContact: (address: string, connectedMs: number) => void;
  readonly onConnected: (address: string) => void;
  readonly onSent: (address: string) => void;
  /** A connection could not be opened or broke. */
  readonly onFailure: (address: string) => void;
}

/** Opens sockets and observes connections. */
export interface ChannelsOptions {
  readonly observer?: ChannelObserver;
  /** Opens a socket; `connect` of `node:net` by default. */
  readonly connect?: (options: TcpNetConnectOpts) => Socket;
}

/** Timeout for establishing a connection, in ms; round trips are below 20 ms. */
const connectTimeoutMs = 800;
/** Idle time before the kernel sends TCP keep-alive probes, in ms. */
const keepAliveProbeDelayMs = 2_000;

function createSocket(
  address: string,
  { connect: open = connect }: ChannelsOptions,
): Socket {
  const [host = "", port = ""] = address.split(":");
  return open({
    host,
    port: Number(port),
    noDelay: true,
    ...boundedReads,
  });
}

/** Tries to open a connection to an address, which is closed again; fails after `timeoutMs`. */
export function tryAddress(
  address: string,
  timeoutMs: number,
  options: ChannelsOptions,
): Promise<ConnectionAttempt> {
  return tryConnection(createSocket(address, options), timeoutMs);
}

/** Opens a socket and observes it; rejects with `RemoteError`, whose effect is `None`. */
export function openSocket(
  address: string,
  signal: AbortSignal | undefined,
  options: ChannelsOptions,
): Promise<Socket> {
  return new Promise((resolve, reject) => {
    if (signal?.aborted) return reject(createAbortError(signal, false));
    const socket = createSocket(address, options);
    const timer = startPolledTimer(
      () => socket.destroy(new Error("connection was not established in time")),
      connectTimeoutMs,
    );
    const abort = (): void => {
      end();
      socket.destroy();
      reject(createAbortError(signal, false));
    };
    const fail = (error: Error): void => {
      end();
      reject(convertError(error, false));
    };
    const end = (): void => {
      timer.cancel();
      socket.removeListener("error", fail);
      signal?.removeEventListener("abort", abort);
    };
    signal?.addEventListener("abort", abort, { once: true });
    socket.on("error", () => options.observer?.onFailure(address));
    socket.once("error", fail);
    socket.once("connect", () => {
      end();
      socket.setKeepAlive(true, keepAliveProbeDelayMs);
      options.observer?.onConnected(address);
      resolve(socket);
    });
  });
}
