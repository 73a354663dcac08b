/** HTTP adapter of the platform's rate-limited weight store. */
import { z } from "zod";
import { openHttpConnections } from "../../connection/http/index.ts";
import type { ReserveWeightLoad } from "../../types/platform.ts";
import type { PlatformOptions } from "./options.ts";

const grantSchema = z.object({
  granted: z.boolean(),
  retry_after_ms: z.number().min(0),
});

const defaultTimeoutMs = 3_000;

/** Weight store client; `close` closes its connections. */
export interface OpenWeightStore {
  readonly reserveWeightLoad: ReserveWeightLoad;
  readonly close: () => Promise<void>;
}

/** Creates a weight store client; a reservation times out after 3 s by default. */
export function openWeightStore(options: PlatformOptions): OpenWeightStore {
  const connections = openHttpConnections(options.address, {
    replacesAfterTimeout: true,
  });
  return {
    reserveWeightLoad: async (weights, signal) => {
      const answer = await connections.fetchJson({
        method: "POST",
        path: "/loads",
        headers: { "content-type": "application/json" },
        body: JSON.stringify({ weights }),
        timeoutMs: options.timeoutMs ?? defaultTimeoutMs,
        signal,
      }, grantSchema);
      return {
        granted: answer.granted,
        retryAfterMs: answer.retry_after_ms,
      };
    },
    close: connections.close,
  };
}
