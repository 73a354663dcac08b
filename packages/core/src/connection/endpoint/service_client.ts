/** HTTP client of one plain service process. */
import { z } from "zod";
import {
  convertError,
  type HttpAnswer,
  type HttpCall,
  type HttpConnections,
  readText,
  RemoteRefusal,
} from "../http/index.ts";
import type { HeldBytes } from "../../shared/index.ts";
import { Effect, RemoteError, RemoteFailure } from "../../types/effects.ts";
import type {
  ServiceAnswer,
  ServiceClient,
  ServiceRequest,
} from "../../types/endpoints.ts";
import type { EngineAdapterOptions } from "./engine_client.ts";

/** Header in which a service names the requests a second that it takes from all instances together. */
const limitHeader = "trefoildoor-limit";
const pingTimeoutMs = 1_000;
const maxPingBytes = 65_536;
/** Longest answer to a call, in bytes. */
const maxAnswerBytes = 16 * 1_048_576;
const lookUpTimeoutMs = 2_000;
const pingSchema = z.object({ leaving: z.boolean().default(false) });

/** Status with which a service refuses work; the body holds the error code. */
const unavailableStatus = 503;

/** Creates the client of a service process over its connections. */
export function createServiceClient(
  connections: HttpConnections,
  options: EngineAdapterOptions & {
    /** Bound of the answers to calls that the process holds. */
    readonly held: HeldBytes;
  },
): ServiceClient {
  const { endpoint, listeners, held } = options;
  const exchange = async (call: HttpCall): Promise<ServiceAnswer> => {
    const answer = await connections.send(call, {
      minErrorStatus: unavailableStatus,
    }).catch((error) => {
      const leaving = error instanceof RemoteRefusal &&
        error.code === "leaving";
      if (leaving) listeners.onLeaving?.(endpoint);
      throw error;
    });
    const body = await readBody(answer, { call, held });
    if (!isFramed(answer) && await connections.hasEnded()) {
      throw new RemoteError("service ended with an answer without a length", {
        failure: RemoteFailure.Unreachable,
        effect: Effect.Unknown,
      });
    }
    listeners.onAlive?.(endpoint);
    listeners.onLimit?.(endpoint, decodeLimit(answer.headers[limitHeader]));
    return { status: answer.status, headers: answer.headers, body };
  };
  return {
    call: (request, signal) =>
      exchange({
        ...buildCall(request, signal),
        mayWrite: () => listeners.mayWrite?.(endpoint) !== false,
      }),
    lookUp: async (key, signal) => {
      const call = {
        method: "GET",
        path: `/calls/${encodeURIComponent(key)}`,
        timeoutMs: lookUpTimeoutMs,
        signal,
        readOnly: true,
      };
      try {
        const answer = await connections.send(call);
        const body = await readBody(answer, { call, held });
        return { status: answer.status, headers: answer.headers, body };
      } catch (error) {
        const absent = error instanceof RemoteRefusal &&
          error.code === "not_run";
        if (absent) return undefined;
        throw error;
      }
    },
    ping: async (signal) => {
      const answer = await connections.fetchJson({
        method: "GET",
        path: "/ping",
        timeoutMs: pingTimeoutMs,
        maxAnswerBytes: maxPingBytes,
        signal,
        readOnly: true,
      }, pingSchema);
      listeners.onAlive?.(endpoint);
      if (answer.leaving) listeners.onLeaving?.(endpoint);
    },
  };
}

function buildCall(request: ServiceRequest, signal: AbortSignal): HttpCall {
  const keyHeader: Record<string, string> = request.key
    ? { "idempotency-key": request.key }
    : {};
  return {
    method: request.method,
    path: request.path,
    headers: { ...request.headers, ...keyHeader },
    body: request.body === "" ? undefined : request.body,
    // Answers name no call, so a refusal that nobody asked for could be taken for
    // that of a call on a connection that has carried others.
    single: !request.repeatable,
    signal,
  };
}

/** Whether the answer states where its body ends; if not, it ends with the connection. */
function isFramed({ headers }: HttpAnswer): boolean {
  return headers["content-length"] !== undefined ||
    headers["transfer-encoding"] !== undefined;
}

async function readBody(
  answer: HttpAnswer,
  { call, held }: { readonly call: HttpCall; readonly held: HeldBytes },
): Promise<string> {
  try {
    return await readText(answer, { maxBytes: maxAnswerBytes, held });
  } catch (error) {
    throw convertError(error, { sent: true, call });
  }
}

function decodeLimit(text: string | undefined): number | undefined {
  const perSecond = Number(text);
  return text !== undefined && text !== "" && Number.isFinite(perSecond) &&
      perSecond >= 0
    ? perSecond
    : undefined;
}
