/** Health probes of an endpoint and its idle connections. */
import { z } from "zod";
import type { HttpCall, HttpConnections } from "../http/index.ts";
import type { LoadReport } from "../../types/endpoints.ts";
import { loadReportSchema, maxLoadBytes } from "./engine_schemas.ts";

/** Content of the answer to a probe. */
export interface ProbeResult {
  /** Whether the endpoint is leaving; absent on engines. */
  readonly leaving?: boolean;
  /** Load of an engine; absent on plain services. */
  readonly report?: LoadReport;
  /** Differs at each start of a plain service's process; absent on those that state none, and on engines, whose load has it. */
  readonly startId?: string;
}

/** Probes of one endpoint; rejections are `RemoteError`. */
export interface EndpointProbe {
  /** Sends one probe, on a pooled connection or, with `fresh`, on a new one. */
  readonly ask: (
    options: { readonly fresh: boolean; readonly signal: AbortSignal },
  ) => Promise<ProbeResult>;
  /** Pings on up to 64 idle connections at once; true when all are answered in time. */
  readonly pingIdle: (signal: AbortSignal) => Promise<boolean>;
  /** Opens new connections for later calls; calls in flight continue on the old ones. */
  readonly replaceConnections: () => void;
}

/** Kind of a probed endpoint. */
export enum ProbeKind {
  /** An engine, which answers with its load. */
  Load = "load",
  /** Any endpoint that answers a ping. */
  Ping = "ping",
}

const probeTimeoutMs = 1_000;
const maxIdlePings = 64;
const maxPingBytes = 65_536;
const maxStartIdLength = 256;
const pingSchema = z.object({
  leaving: z.boolean().default(false),
  startId: z.string().max(maxStartIdLength).optional(),
});

/** Creates the probe of an endpoint over its connections. */
export function createProbe(
  connections: HttpConnections,
  kind: ProbeKind,
): EndpointProbe {
  const ping = (signal: AbortSignal): HttpCall => ({
    method: "GET",
    path: "/ping",
    timeoutMs: probeTimeoutMs,
    maxAnswerBytes: maxPingBytes,
    readOnly: true,
    signal,
  });
  return {
    ask: async ({ fresh, signal }) => {
      const call = { ...ping(signal), fresh };
      if (kind === ProbeKind.Ping) {
        return await connections.fetchJson(call, pingSchema);
      }
      const report = await connections.fetchJson(
        { ...call, path: "/v1/load", maxAnswerBytes: maxLoadBytes },
        loadReportSchema,
      );
      return { report };
    },
    pingIdle: async (signal) => {
      const count = Math.min(connections.countIdle(), maxIdlePings);
      const pings = Array.from(
        { length: count },
        () => connections.fetchJson(ping(signal), pingSchema),
      );
      const results = await Promise.allSettled(pings);
      return results.every(({ status }) => status === "fulfilled");
    },
    replaceConnections: connections.replace,
  };
}
