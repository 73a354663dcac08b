/** Calls to one peer. */
import type { ControlState } from "@trefoildoor/core";
import { createTRPCClient, httpLink } from "@trpc/client";
import { Agent, fetch as fetchHttp } from "undici";
import {
  type Environment,
  readSecret,
  type Settings,
} from "../../settings/index.ts";
import { type PeerDigest, peerKeyHeader } from "./messages.ts";
import type { PeerRouter } from "./router.ts";

const connectTimeoutMs = 1_000;
const callTimeoutMs = 2_000;

/** Calls to one peer; all reject when the peer does not answer in time. */
export interface PeerClient {
  readonly exchange: (digest: PeerDigest) => Promise<PeerDigest>;
  readonly fetchControlState: () => Promise<ControlState>;
  readonly close: () => Promise<void>;
}

/** Opens a client for the peer at `host:port`; connects on the first call. */
export function openPeerClient(
  address: string,
  options: {
    readonly settings: Settings["peers"];
    readonly environment: Environment;
  },
): PeerClient {
  const { settings, environment } = options;
  const agent = new Agent({
    connect: {
      timeout: connectTimeoutMs,
      ca: settings.ca && readSecret(settings.ca, environment),
    },
    headersTimeout: callTimeoutMs,
    bodyTimeout: callTimeoutMs,
  });
  const client = createTRPCClient<PeerRouter>({
    links: [httpLink({
      url: `${settings.tls ? "https" : "http"}://${address}`,
      headers: { [peerKeyHeader]: readSecret(settings.key, environment) },
      fetch: ((url: string, init: object) =>
        fetchHttp(url, { ...init, dispatcher: agent })) as never,
    })],
  });
  return {
    exchange: (digest) =>
      client.exchange.mutate(digest, { signal: createTimeoutSignal() }),
    fetchControlState: () =>
      client.controlState.query(undefined, { signal: createTimeoutSignal() }),
    close: () => agent.destroy(),
  };
}

/** Limits the whole call, also when the peer accepts the connection and then sends nothing. */
function createTimeoutSignal(): AbortSignal {
  return AbortSignal.timeout(callTimeoutMs);
}
