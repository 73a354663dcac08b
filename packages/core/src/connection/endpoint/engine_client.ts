/** HTTP adapter of one model engine. */
import { z } from "zod";
import {
  type HttpCall,
  type HttpConnections,
  RemoteRefusal,
} from "../http/index.ts";
import type {
  EngineClient,
  GenerateEvent,
  LoadReport,
} from "../../types/endpoints.ts";
import type { EndpointName } from "../../types/names.ts";
import {
  encodeCompletion,
  engineStateSchema,
  kvHandleSchema,
  loadReportSchema,
  maxLoadBytes,
} from "./engine_schemas.ts";
import type { EndpointListeners } from "./observations.ts";
import { streamEvents } from "./token_events.ts";

/** Endpoint of a client and the listeners that it calls. */
export interface EngineAdapterOptions {
  readonly endpoint: EndpointName;
  readonly listeners: EndpointListeners;
}

const jsonHeaders = { "content-type": "application/json" };
const readTimeoutMs = 1_000;
const orderTimeoutMs = 3_000;
const cancelTimeoutMs = 2_000;

/** Creates the client of an engine over its connections. */
export function createEngineClient(
  connections: HttpConnections,
  options: EngineAdapterOptions,
): EngineClient {
  const { endpoint, listeners } = options;
  const onLoad = (report: LoadReport): void =>
    listeners.onLoad?.(endpoint, report);
  const mayWrite = (): boolean => listeners.mayWrite?.(endpoint) !== false;
  const handleFailure = (error: unknown): never => {
    if (error instanceof RemoteRefusal && error.code === "leaving") {
      listeners.onLeaving?.(endpoint);
    }
    throw error;
  };
  const fetchJson = async <S extends z.ZodType>(
    call: HttpCall,
    schema: S,
  ): Promise<z.infer<S>> => {
    const answer = await connections.fetchJson(call, schema).catch(
      handleFailure,
    );
    listeners.onAlive?.(endpoint);
    return answer;
  };
  const stream = async function* (
    call: HttpCall,
  ): AsyncGenerator<GenerateEvent, void, void> {
    const answer = await connections.send(call).catch(handleFailure);
    yield* streamEvents(answer, {
      call,
      onLoad,
      onBytes: () => listeners.onAlive?.(endpoint),
    });
  };
  return {
    generate: (request, signal) =>
      stream({
        method: "POST",
        path: "/v1/completions",
        headers: jsonHeaders,
        body: encodeCompletion(request),
        // Answers name no attempt, as those of services.
        single: true,
        mayWrite,
        signal,
      }),
    resume: ({ attemptId, fromIndex }, signal) =>
      stream({
        method: "GET",
        path: `${buildAttemptPath(attemptId)}?from_index=${fromIndex}`,
        signal,
        readOnly: true,
        // Other pooled connections may be unresponsive like the one that broke.
        fresh: true,
      }),
    cancel: async (attemptId) => {
      await fetchJson({
        method: "DELETE",
        path: buildAttemptPath(attemptId),
        timeoutMs: cancelTimeoutMs,
      }, z.unknown());
    },
    fetchLoad: async (signal) => {
      const report = await fetchJson({
        method: "GET",
        path: "/v1/load",
        timeoutMs: readTimeoutMs,
        maxAnswerBytes: maxLoadBytes,
        signal,
        readOnly: true,
      }, loadReportSchema);
      onLoad(report);
      return report;
    },
    fetchState: (signal) =>
      fetchJson({
        method: "GET",
        path: "/v1/state",
        timeoutMs: readTimeoutMs,
        signal,
        readOnly: true,
      }, engineStateSchema),
    order: (order, signal) =>
      fetchJson({
        method: "POST",
        path: "/v1/orders",
        headers: jsonHeaders,
        body: JSON.stringify(order),
        timeoutMs: orderTimeoutMs,
        signal,
      }, engineStateSchema),
    exportKv: async (request, signal) => {
      const answer = await fetchJson({
        method: "POST",
        path: "/v1/kv",
        headers: jsonHeaders,
        body: encodeCompletion(request),
        mayWrite,
        signal,
      }, kvHandleSchema);
      return answer.handle;
    },
  };
}

function buildAttemptPath(attemptId: string): string {
  return `/v1/generations/${encodeURIComponent(attemptId)}`;
}
