/** Calls to one peer. */
import type { ControlState } from "@trefoildoor/core";
import { createTRPCClient, httpLink } from "@trpc/client";
import { Agent, type Dispatcher, request } from "undici";
import {
  type Environment,
  readSecret,
  type Settings,
} from "../../settings/index.ts";
import { type PeerDigest, peerKeyHeader } from "./messages.ts";
import type { PeerRouter } from "./router.ts";

const connectTimeoutMs = 1_000;
const callTimeoutMs = 2_000;
/** Longest answer of a peer, in bytes. */
const maxAnswerBytes = 16 * 1_048_576;
const firstError = 400;

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
    maxResponseSize: maxAnswerBytes,
  });
  const client = createTRPCClient<PeerRouter>({
    links: [httpLink({
      url: `${settings.tls ? "https" : "http"}://${address}`,
      headers: { [peerKeyHeader]: readSecret(settings.key, environment) },
      // Not `fetch`, which unpacks compressed answers without a bound.
      fetch: ((url: string, init: RequestInit) =>
        fetchAnswer(url, { init, dispatcher: agent })) as never,
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

interface RequestInit {
  readonly method: Dispatcher.HttpMethod;
  readonly headers: Record<string, string>;
  readonly body?: string;
  readonly signal?: AbortSignal;
}

/** Sends a request and returns what the client reads of its answer. */
async function fetchAnswer(
  url: string,
  { init, dispatcher }: {
    readonly init: RequestInit;
    readonly dispatcher: Dispatcher;
  },
): Promise<{
  readonly ok: boolean;
  readonly status: number;
  readonly json: () => Promise<unknown>;
}> {
  const { statusCode, body } = await request(url, { ...init, dispatcher });
  return {
    ok: statusCode < firstError,
    status: statusCode,
    json: () => body.json(),
  };
}

/** Limits the whole call, also when the peer accepts the connection and then sends nothing. */
function createTimeoutSignal(): AbortSignal {
  return AbortSignal.timeout(callTimeoutMs);
}
