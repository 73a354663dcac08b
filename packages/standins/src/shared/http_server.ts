/** HTTP server of a stand-in: routes of moleculer-web, faults, JSON errors. */
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import type { AddressInfo } from "node:net";
import { Effect } from "@trefoildoor/core";
import { ServiceBroker } from "moleculer";
import ApiGateway from "moleculer-web";
import { z } from "zod";
import { type Faults, Outage, useLostAnswer, waitForFaults } from "./faults.ts";

/** One call as a handler sees it. */
export interface StandinCall {
  readonly method: string;
  readonly path: string;
  /** Path and query parameters. */
  readonly params: Readonly<Record<string, string>>;
  readonly headers: IncomingMessage["headers"];
  /** Parsed JSON body. */
  readonly body: unknown;
  readonly response: ServerResponse;
}

/** Answer of a handler. */
export interface StandinAnswer {
  readonly status: number;
  readonly body: unknown;
  readonly headers?: Readonly<Record<string, string>>;
}

/** Handles a call; resolves to undefined when it writes the response itself. */
export type StandinHandler = (
  call: StandinCall,
) => Promise<StandinAnswer | undefined> | StandinAnswer | undefined;

/** A refusal that the caller sees as JSON. */
export class StandinError extends Error {
  /** Keeps status, code and effect for the answer. */
  constructor(
    readonly status: number,
    readonly code: string,
    readonly options: {
      readonly message: string;
      readonly effect?: Effect;
      readonly retryAfterMs?: number;
    },
  ) {
    super(options.message);
  }
}

/** What a stand-in serves. */
export interface StandinServerOptions {
  /** Handlers by `METHOD /path/:parameter`. */
  readonly routes: Readonly<Record<string, StandinHandler>>;
  readonly faults: Faults;
  /** Largest body, in bytes. */
  readonly maxBodyBytes?: number;
}

/** A running server. */
export interface StandinServer {
  /** IP number and port. */
  readonly address: string;
  /** Cuts every connection and stops listening, as a crash does. */
  readonly cut: () => Promise<void>;
  /** Listens on the same port again. */
  readonly restore: () => Promise<void>;
  readonly close: () => Promise<void>;
}

type RoutedRequest = IncomingMessage & {
  readonly $params?: Record<string, unknown>;
  readonly originalUrl?: string;
  readonly body?: unknown;
};

type ExpressHandler = (
  request: IncomingMessage,
  response: ServerResponse,
) => void;

const defaultMaxBodyBytes = 32 * 1024 * 1024;
const host = "127.0.0.1";

/** Starts a server on a free port of 127.0.0.1. */
export async function startStandinServer(
  options: StandinServerOptions,
): Promise<StandinServer> {
  const broker = new ServiceBroker({ logger: false });
  const service = broker.createService({
    name: "standin",
    mixins: [ApiGateway],
    settings: {
      server: false,
      routes: [{
        path: "/",
        aliases: buildAliases(options),
        bodyParsers: {
          json: { limit: options.maxBodyBytes ?? defaultMaxBodyBytes },
        },
        mappingPolicy: "restrict",
        logging: false,
      }],
    },
  });
  await broker.start();
  const handle: ExpressHandler = service.express();
  const server = createServer({ keepAliveTimeout: 60_000 }, handle);
  await startListening(server, 0);
  const { port } = server.address() as AddressInfo;
  const cut = (): Promise<void> => closeServer(server);
  return {
    address: `${host}:${port}`,
    cut,
    restore: () => startListening(server, port),
    close: async () => {
      await cut();
      await broker.stop();
    },
  };
}

function buildAliases(
  options: StandinServerOptions,
): Record<string, (request: RoutedRequest, response: ServerResponse) => void> {
  const aliases = Object.entries(options.routes).map(([route, handler]) => [
    route,
    (request: RoutedRequest, response: ServerResponse): void => {
      void handleCall(handler, buildCall(request, response), options);
    },
  ]);
  return Object.fromEntries(aliases);
}

function buildCall(
  request: RoutedRequest,
  response: ServerResponse,
): StandinCall {
  const params = Object.entries(request.$params ?? {}).flatMap((
    [name, value],
  ) => typeof value === "string" ? [[name, value]] : []);
  return {
    method: request.method ?? "GET",
    path: request.originalUrl ?? request.url ?? "/",
    params: Object.fromEntries(params),
    headers: request.headers,
    body: request.body,
    response,
  };
}

async function handleCall(
  handler: StandinHandler,
  call: StandinCall,
  { faults }: { readonly faults: Faults },
): Promise<void> {
  const affected = faults.matches(call.method, call.path);
  try {
    if (affected) await waitForFaults(faults);
    if (affected && faults.outage === Outage.Hang) return;
    if (affected && faults.outage === Outage.Refuse) {
      throw new StandinError(503, "outage", {
        message: "out of service",
        effect: Effect.None,
      });
    }
    const answer = await handler(call);
    if (affected && useLostAnswer(faults)) {
      call.response.destroy();
      return;
    }
    if (answer) sendAnswer(call.response, answer);
  } catch (error) {
    sendAnswer(call.response, describeError(error));
  }
}

function sendAnswer(response: ServerResponse, answer: StandinAnswer): void {
  if (response.headersSent || response.destroyed) {
    response.destroy();
    return;
  }
  response.writeHead(answer.status, {
    "content-type": "application/json",
    ...answer.headers,
  });
  response.end(JSON.stringify(answer.body));
}

function describeError(error: unknown): StandinAnswer {
  if (error instanceof StandinError) {
    const { effect, retryAfterMs, message } = error.options;
    return {
      status: error.status,
      body: {
        error: {
          code: error.code,
          message,
          effect,
          retry_after_ms: retryAfterMs,
        },
      },
    };
  }
  const invalid = error instanceof z.ZodError;
  return {
    status: invalid ? 400 : 500,
    body: {
      error: {
        code: invalid ? "malformed" : "internal",
        message: error instanceof Error ? error.message : String(error),
        effect: invalid ? Effect.None : Effect.Unknown,
      },
    },
  };
}

function startListening(server: Server, port: number): Promise<void> {
  return new Promise((resolve, reject) => {
    server.once("error", reject);
    server.listen(port, host, () => {
      server.removeListener("error", reject);
      resolve();
    });
  });
}

function closeServer(server: Server): Promise<void> {
  if (!server.listening) return Promise.resolve();
  return new Promise((resolve) => {
    server.close(() => resolve());
    server.closeAllConnections();
  });
}
