/** The HTTP gateway for callers: a moleculer broker without transporter and its web service. */
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import { Server as NetServer } from "node:net";
import {
  Outcome,
  outcomeHeader,
  RefusalReason,
  waitFor,
} from "@trefoildoor/core";
import { type Service, ServiceBroker, type ServiceSchema } from "moleculer";
import ApiService from "moleculer-web";
import type { Settings } from "../settings/index.ts";
import { type Environment, readSecret } from "../settings/index.ts";
import { refuseNotRun } from "../request/refusals.ts";
import { closeIdleConnections } from "./idle_connections.ts";
import { answerRequestErrors } from "./request_errors.ts";
import { sendRefusal } from "./responses.ts";

const closeCheckMs = 20;
const badRequest = 400;
const notFound = 404;
const payloadTooLarge = 413;

/** A caller's request after its body was read. */
export interface GatewayRequest extends IncomingMessage {
  /** Parsed JSON, or the text of other bodies. */
  readonly body?: unknown;
  /** Parameters of the path. */
  readonly $params?: Readonly<Record<string, string>>;
}

/** Answers one request; a rejection is a programming error, never a refusal. */
export type GatewayHandler = (
  request: GatewayRequest,
  response: ServerResponse,
) => Promise<void> | void;

/** How the body of a route's requests is read. */
export enum BodyKind {
  Json = "json",
  Text = "text",
}

/** Handlers below one path prefix. */
export interface GatewayApp {
  /** Path prefix, for instance `/v1`. */
  readonly path: string;
  readonly body: BodyKind;
  /** Handlers by method and path, for instance `POST /completions`. */
  readonly handlers: Readonly<Record<string, GatewayHandler>>;
}

/** A gateway that is listening. */
export interface Gateway {
  /** Address as `host:port`. */
  readonly address: string;
  /** Stops listening; resolves once every connection is closed. */
  readonly close: () => Promise<void>;
}

/** What a gateway needs besides its settings. */
export interface GatewayOptions {
  readonly apps: readonly GatewayApp[];
  readonly environment: Environment;
  /** Called with the error of a handler that rejected. */
  readonly onFailure: (error: unknown) => void;
}

/** Starts listening for callers. */
export async function openGateway(
  settings: Settings["callers"],
  options: GatewayOptions,
): Promise<Gateway> {
  const broker = new ServiceBroker({
    logger: false,
    // Instances call each other without the broker, so it needs no transporter.
    transporter: undefined,
    tracing: false,
    metrics: false,
    skipProcessEventRegistration: true,
  });
  const service = broker.createService(buildWebSchema(settings, options));
  const server = (service as Service & { readonly server: Server }).server;
  server.maxConnections = settings.max_connections;
  server.headersTimeout = settings.read_timeout_ms;
  server.requestTimeout = settings.read_timeout_ms;
  answerRequestErrors(server);
  closeIdleConnections(server);
  const responses = new Set<ServerResponse>();
  server.on("request", (_request, response) => {
    responses.add(response);
    response.once("close", () => responses.delete(response));
  });
  await broker.start();
  return {
    address: formatAddress(server),
    async close(): Promise<void> {
      let closed = false;
      // Without the step of the HTTP server that closes idle connections: those
      // whose answer was ended and is not flushed yet count as idle.
      NetServer.prototype.close.call(server, () => closed = true);
      while (!closed) {
        if (!hasUnflushed(responses)) server.closeIdleConnections();
        await waitFor(closeCheckMs);
      }
      await broker.stop();
    },
  };
}

/** Whether an answer has been ended whose bytes have not all been handed to the system. */
function hasUnflushed(responses: ReadonlySet<ServerResponse>): boolean {
  return [...responses].some(({ writableEnded, writableFinished }) =>
    writableEnded && !writableFinished
  );
}

function buildWebSchema(
  settings: Settings["callers"],
  options: GatewayOptions,
): ServiceSchema {
  const { tls } = settings;
  return {
    name: "gateway",
    mixins: [ApiService as ServiceSchema],
    settings: {
      ip: settings.host,
      port: settings.port,
      path: "",
      https: tls && {
        cert: readSecret(tls.certificate, options.environment),
        key: readSecret(tls.private_key, options.environment),
      },
      routes: options.apps.map((app) => buildRoute(app, settings, options)),
      onError: (
        _request: IncomingMessage,
        response: ServerResponse,
        error: unknown,
      ): void => answerError(response, error, options),
    },
  };
}

function buildRoute(
  app: GatewayApp,
  settings: Settings["callers"],
  options: GatewayOptions,
): object {
  const limit = settings.max_body_bytes;
  return {
    path: app.path,
    mappingPolicy: "restrict",
    mergeParams: true,
    bodyParsers: app.body === BodyKind.Json
      ? { json: { limit, strict: true, type: () => true } }
      : { text: { limit, type: () => true } },
    aliases: app.handlers,
    onError: (
      _request: IncomingMessage,
      response: ServerResponse,
      error: unknown,
    ): void => answerError(response, error, options),
  };
}

/** Answers a request that has no handler, whose body cannot be read, or whose handler rejected. */
function answerError(
  response: ServerResponse,
  error: unknown,
  options: GatewayOptions,
): void {
  const { code, type } = error as { code?: unknown; type?: unknown };
  if (code === payloadTooLarge) {
    return sendRefusal(
      response,
      refuseNotRun(RefusalReason.TooLarge, "Request body is too large"),
    );
  }
  if (code === notFound) {
    return sendRefusal(
      response,
      refuseNotRun(RefusalReason.UnknownService, "Path does not exist"),
    );
  }
  if (code === badRequest) {
    return sendRefusal(
      response,
      refuseNotRun(RefusalReason.Malformed, "Request cannot be read"),
    );
  }
  // Errors of body parsers have a `type` such as `entity.parse.failed`.
  if (typeof type === "string" && /^(entity|encoding|charset)\./.test(type)) {
    return sendRefusal(
      response,
      refuseNotRun(RefusalReason.Malformed, "Request body cannot be read"),
    );
  }
  options.onFailure(error);
  if (!response.headersSent) {
    // The handler may already have run the request, so the outcome is unknown.
    response.writeHead(500, { [outcomeHeader]: Outcome.Unknown });
  }
  response.end();
}

function formatAddress(server: Server): string {
  const address = server.address();
  if (address === null || typeof address === "string") return "";
  return `${address.address}:${address.port}`;
}
