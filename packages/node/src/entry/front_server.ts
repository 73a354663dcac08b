/**
 * HTTP server for callers of the entry. It uses Node's server directly, because
 * the gateway's web framework parses bodies and writes responses itself.
 */
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import { Server as NetServer, type Socket } from "node:net";
import type { CallerAnswer, CallerLimits } from "@trefoildoor/core";
import { closeIdleConnections } from "../connection/idle_connections.ts";
import { answerRequestErrors } from "../connection/request_errors.ts";
import { encodeLeaving, pickPassedHeaders } from "./hand_over_wire.ts";

/** A caller's request with its complete body. */
export interface CallerRequest {
  readonly method: string;
  /** Path and query. */
  readonly target: string;
  readonly host: string;
  /** Names and values in turn. */
  readonly headers: readonly string[];
  readonly body: Buffer;
  readonly receivedMs: number;
}

/** A running server for callers. */
export interface FrontServer {
  /** Number of requests whose responses have not ended. */
  readonly countOpen: () => number;
  readonly applyLimits: (limits: CallerLimits) => void;
  /** From now on, adds `connection: close` to each response. */
  readonly startLeaving: () => void;
  /** Closes the listener and idle connections; requests on the others are still answered. */
  readonly stopAccepting: () => void;
  /** Cuts the answers in progress, so that none looks complete when the process ends. */
  readonly abortAnswers: () => void;
}

/** Address of the server and its callbacks. */
export interface FrontServerOptions {
  readonly address: string;
  /** Interval at which late heads are looked for, in ms; Node's own if absent. */
  readonly headCheckIntervalMs?: number;
  readonly answer: (
    request: CallerRequest,
    answer: CallerAnswer,
  ) => Promise<void>;
  /** Called with the error of a handler that rejected. */
  readonly onFailure: (error: unknown) => void;
}

const internalError = 500;
const payloadTooLarge = 413;
/** Time added to the callers' idle timeout, in ms, so that callers close idle connections first. */
const idleTimeoutMarginMs = 1_000;
/** Permissive limits that apply until a configuration is in force. */
const initialLimits: CallerLimits = {
  maxHeaderBytes: 16_384,
  maxBodyBytes: 4 * 1_048_576,
  headerTimeoutMs: 10_000,
  idleTimeoutMs: 60_000,
};
/** Upper bound of request headers, in bytes: Node reads it at start only, so a lower configured limit is checked for each request. */
export const maxHeaderSizeBytes = 65_536;

/** Starts listening; resolves once connections are accepted, and rejects if the address cannot be bound. */
export async function openFrontServer(
  options: FrontServerOptions,
): Promise<FrontServer> {
  let limits = initialLimits;
  let open = 0;
  let leaving = false;
  let accepting = true;
  const idleSockets = new Set<Socket>();
  const answers = new Set<CallerAnswer>();
  /** Requests without a complete response; more than one where a caller does not wait for responses. */
  const openBySocket = new WeakMap<Socket, number>();
  const countOpenOf = (socket: Socket): number => openBySocket.get(socket) ?? 0;
  const server = createServer({
    keepAlive: true,
    noDelay: true,
    maxHeaderSize: maxHeaderSizeBytes,
    requestTimeout: 0,
    connectionsCheckingInterval: options.headCheckIntervalMs,
  }, (request, response) => void handle(request, response));

  async function handle(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    // Read here: `request.socket` is unset once the connection is destroyed.
    const { socket } = request;
    idleSockets.delete(socket);
    open += 1;
    openBySocket.set(socket, countOpenOf(socket) + 1);
    response.sendDate = false;
    response.once("close", () => {
      open -= 1;
      openBySocket.set(socket, countOpenOf(socket) - 1);
      if (socket.destroyed || countOpenOf(socket) > 0) return;
      idleSockets.add(socket);
      if (!accepting) socket.destroySoon();
    });
    const answer = createAnswer(response, { isLeaving: () => leaving });
    answers.add(answer);
    response.once("close", () => answers.delete(answer));
    try {
      const body = await readBody(request, limits.maxBodyBytes);
      if (body === undefined) return rejectLarge(request, response);
      await options.answer({
        method: request.method ?? "GET",
        target: request.url ?? "/",
        host: request.headers.host ?? "",
        headers: request.rawHeaders,
        body,
        receivedMs: performance.now(),
      }, answer);
    } catch (error) {
      // A caller that disconnected while its body was read needs no response.
      if (answer.left.aborted) return;
      options.onFailure(error);
      if (answer.isStarted()) return answer.cut();
      response.writeHead(internalError).end();
    }
  }

  answerRequestErrors(server);
  applyTimeouts(server, limits);
  server.on("connection", (socket) => {
    idleSockets.add(socket);
    socket.once("close", () => idleSockets.delete(socket));
  });
  await listen(server, options.address);
  return {
    countOpen: () => open,
    applyLimits(applied): void {
      limits = applied;
      applyTimeouts(server, applied);
    },
    abortAnswers(): void {
      for (const answer of answers) if (answer.isStarted()) answer.cut();
    },
    startLeaving(): void {
      leaving = true;
    },
    stopAccepting(): void {
      accepting = false;
      // Without the step of the HTTP server that closes connections whose answer
      // has been ended and is not flushed yet.
      NetServer.prototype.close.call(server);
      // Closed in both directions: on a half-closed connection a caller could
      // still send a request that gets no response.
      for (const socket of idleSockets) socket.destroy();
    },
  };
}

function applyTimeouts(server: Server, limits: CallerLimits): void {
  server.keepAliveTimeout = limits.idleTimeoutMs + idleTimeoutMarginMs;
  server.headersTimeout = limits.headerTimeoutMs;
}

/** Listens at `host:port`, and reads idle connections once more before it closes them; rejects if the address cannot be bound. */
export function listen(server: Server, address: string): Promise<void> {
  closeIdleConnections(server);
  const [host = "", port = ""] = address.split(":");
  return new Promise((resolve, reject) => {
    server.once("error", reject);
    server.listen({ host, port: Number(port) }, () => {
      server.removeListener("error", reject);
      resolve();
    });
  });
}

/** Reads a body; undefined if it is larger than `maxBytes`. */
export async function readBody(
  request: IncomingMessage,
  maxBytes: number,
): Promise<Buffer | undefined> {
  const chunks: Buffer[] = [];
  let bytes = 0;
  // The connection stays open for the response if the body is too large.
  for await (const chunk of request.iterator({ destroyOnReturn: false })) {
    chunks.push(chunk);
    bytes += chunk.length;
    if (bytes > maxBytes) return undefined;
  }
  return chunks.length === 1 ? chunks[0] : Buffer.concat(chunks);
}

function rejectLarge(
  request: IncomingMessage,
  response: ServerResponse,
): void {
  response.writeHead(payloadTooLarge, {
    connection: "close",
    "content-length": 0,
  });
  response.end(() => request.destroy());
}

/** Writes the answer to a response. */
export function createAnswer(
  response: ServerResponse,
  options: {
    /** Whether the connection is to close after the answer. */
    readonly isLeaving: () => boolean;
    /** Header that tells a peer of a body that would end with the connection; the body is then sent in chunks. */
    readonly unframedHeader?: string;
    /** Header that tells a peer that the answer's endpoint leaves. */
    readonly leavingHeader?: string;
  },
): CallerAnswer {
  const left = new AbortController();
  let endsOnClose = false;
  const { socket } = response;
  const markLeft = (): void => left.abort();
  // The response closes some turns of the event loop after the caller's side
  // of the connection has ended.
  socket?.once("end", markLeft);
  response.once("close", () => {
    socket?.removeListener("end", markLeft);
    if (!response.writableFinished) left.abort();
  });
  return {
    left: left.signal,
    isStarted: () => response.headersSent,
    start(status, headers, { length, untilClose = false, leaving } = {}): void {
      // A peer takes the link's headers for this instance's own word.
      const all = options.leavingHeader
        ? pickPassedHeaders(headers)
        : [...headers];
      if (leaving?.startedAtMs !== undefined && options.leavingHeader) {
        all.push(options.leavingHeader, encodeLeaving(leaving));
      }
      if (length !== undefined) all.push("content-length", String(length));
      const { unframedHeader } = options;
      const endsWithConnection = untilClose && unframedHeader === undefined;
      if (untilClose && unframedHeader) all.push(unframedHeader, "1");
      if (endsWithConnection) response.useChunkedEncodingByDefault = false;
      // Callers of HTTP/1.0 know no chunks.
      endsOnClose = length === undefined &&
        !response.useChunkedEncodingByDefault;
      if (endsWithConnection || options.isLeaving()) {
        all.push("connection", "close");
      }
      response.writeHead(status, all);
      response.flushHeaders();
    },
    async write(chunk): Promise<void> {
      if (response.destroyed || response.write(chunk)) return;
      await new Promise<void>((resolve) => {
        response.once("drain", resolve);
        response.once("close", resolve);
      });
    },
    end: () => void response.end(),
    // Only a reset shows the caller that an unframed response is incomplete.
    cut: () =>
      endsOnClose
        ? void response.socket?.resetAndDestroy()
        : void response.destroy(),
  };
}
