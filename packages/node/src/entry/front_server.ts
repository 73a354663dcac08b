/**
 * Listener for callers of the entry. Node's own server, because the web
 * service of the gateway parses bodies and answers on its own terms.
 */
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import type { Socket } from "node:net";
import type { CallerAnswer, CallerLimits } from "@trefoildoor/core";

/** A caller's request, read in full. */
export interface FrontRequest {
  readonly method: string;
  /** Path and query. */
  readonly target: string;
  readonly host: string;
  /** Names and values in turn. */
  readonly headers: readonly string[];
  readonly body: Buffer;
  readonly receivedMs: number;
}

/** A listener that runs. */
export interface FrontServer {
  /** Calls that are not answered yet. */
  readonly countOpen: () => number;
  readonly applyLimits: (limits: CallerLimits) => void;
  /** Tells callers to close their connections after the next answer. */
  readonly startLeaving: () => void;
  /** Takes no further request; those that were read are answered. */
  readonly stopTaking: () => void;
}

/** What the listener hands requests to. */
export interface FrontServerOptions {
  readonly address: string;
  readonly answer: (
    request: FrontRequest,
    answer: CallerAnswer,
  ) => Promise<void>;
  /** Called with the error of a handler that rejected. */
  readonly onFailure: (error: unknown) => void;
}

const internalError = 500;
const payloadTooLarge = 413;
/** Margin over the callers' idle time, in ms: the connection closes after they would. */
const idleMarginMs = 1_000;
/** Limits until a configuration is in force: generous ones. */
const firstLimits: CallerLimits = {
  maxHeaderBytes: 16_384,
  maxBodyBytes: 4 * 1_048_576,
  headerTimeoutMs: 10_000,
  idleTimeoutMs: 60_000,
};
/** Node reads this bound at start only; requests above the configured one are refused one by one. */
const mostHeaderBytes = 65_536;

/** Starts listening; resolves once connections are accepted. */
export async function openFrontServer(
  options: FrontServerOptions,
): Promise<FrontServer> {
  let limits = firstLimits;
  let open = 0;
  let leaving = false;
  let taking = true;
  const idle = new Set<Socket>();
  const server = createServer({
    keepAlive: true,
    noDelay: true,
    maxHeaderSize: mostHeaderBytes,
    requestTimeout: 0,
  }, (request, response) => void handle(request, response));

  async function handle(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    // The request loses its socket when the connection is destroyed.
    const { socket } = request;
    // A request that crossed the close is not read, so its caller may repeat it.
    if (!taking) return void socket.destroy();
    idle.delete(socket);
    open += 1;
    response.sendDate = false;
    response.once("close", () => {
      open -= 1;
      if (!socket.destroyed) idle.add(socket);
      if (!taking) socket.destroySoon();
    });
    const answer = createAnswer(response, { isLeaving: () => leaving });
    try {
      const body = await readBody(request, limits.maxBodyBytes);
      if (body === undefined) return refuseLarge(request, response);
      await options.answer({
        method: request.method ?? "GET",
        target: request.url ?? "/",
        host: request.headers.host ?? "",
        headers: request.rawHeaders,
        body,
        receivedMs: performance.now(),
      }, answer);
    } catch (error) {
      // A caller that left while its body was read needs no answer.
      if (answer.left.aborted) return;
      options.onFailure(error);
      if (response.headersSent) return void response.destroy();
      response.writeHead(internalError).end();
    }
  }

  applyTo(server, limits);
  server.on("connection", (socket) => {
    idle.add(socket);
    socket.once("close", () => idle.delete(socket));
  });
  await listen(server, options.address);
  return {
    countOpen: () => open,
    applyLimits(applied): void {
      limits = applied;
      applyTo(server, applied);
    },
    startLeaving(): void {
      leaving = true;
    },
    stopTaking(): void {
      taking = false;
      server.close();
      // Without a half-open connection no caller can send a request that would
      // get no answer.
      for (const socket of idle) socket.destroy();
    },
  };
}

function applyTo(server: Server, limits: CallerLimits): void {
  server.keepAliveTimeout = limits.idleTimeoutMs + idleMarginMs;
  server.headersTimeout = limits.headerTimeoutMs;
}

/** Listens at `host:port`. */
export function listen(server: Server, address: string): Promise<void> {
  const [host = "", port = ""] = address.split(":");
  return new Promise((resolve, reject) => {
    server.once("error", reject);
    server.listen({ host, port: Number(port) }, () => {
      server.removeListener("error", reject);
      resolve();
    });
  });
}

/** Reads a body; undefined where it is larger than allowed. */
async function readBody(
  request: IncomingMessage,
  maxBytes: number,
): Promise<Buffer | undefined> {
  const chunks: Buffer[] = [];
  let bytes = 0;
  // The connection has to stay for the answer when the reading ends early.
  for await (const chunk of request.iterator({ destroyOnReturn: false })) {
    chunks.push(chunk);
    bytes += chunk.length;
    if (bytes > maxBytes) return undefined;
  }
  return chunks.length === 1 ? chunks[0] : Buffer.concat(chunks);
}

function refuseLarge(
  request: IncomingMessage,
  response: ServerResponse,
): void {
  response.writeHead(payloadTooLarge, {
    connection: "close",
    "content-length": 0,
  });
  response.end(() => request.destroy());
}

function createAnswer(
  response: ServerResponse,
  options: { readonly isLeaving: () => boolean },
): CallerAnswer {
  const left = new AbortController();
  let endsWithConnection = false;
  response.once("close", () => {
    if (!response.writableFinished) left.abort();
  });
  return {
    left: left.signal,
    isStarted: () => response.headersSent,
    start(status, headers, { length, untilClose = false } = {}): void {
      const all = [...headers];
      if (length !== undefined) all.push("content-length", String(length));
      if (untilClose) response.useChunkedEncodingByDefault = false;
      endsWithConnection = untilClose;
      if (untilClose || options.isLeaving()) all.push("connection", "close");
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
    // Only a reset shows that an answer without framing is not whole.
    cut: () =>
      endsWithConnection
        ? void response.socket?.resetAndDestroy()
        : void response.destroy(),
  };
}
