/**
 * The link between instances: small digests as datagrams, sent when own work
 * changes and as a heartbeat; the state of the fleet over HTTP, fetched only by
 * an instance that is behind. tRPC does not fit here: digests are datagrams, a
 * lost one is replaced by the next, and the import alone costs a restarted
 * process a tenth of a second.
 */
import { createSocket, type Socket } from "node:dgram";
import { createServer, type Server } from "node:http";
import {
  type EndpointSnapshot,
  type PeerBook,
  type PeerDigest,
  type RoutingConfiguration,
  waitFor,
} from "@trefoildoor/core";
import type { Channels } from "./channels.ts";
import { listen } from "./front_server.ts";

/** All that an instance hands to one that is behind. */
export interface FleetState {
  readonly configuration?: RoutingConfiguration;
  readonly endpoints: EndpointSnapshot;
}

/** The link of one instance. */
export interface PeerLink {
  /** Sends a digest soon; changes within a short time share one. */
  readonly tellSoon: () => void;
  readonly fetchState: (address: string) => Promise<FleetState>;
  readonly close: () => void;
}

/** What the link works with. */
export interface PeerLinkOptions {
  /** IP number and port for both datagrams and HTTP. */
  readonly address: string;
  readonly peers: PeerBook;
  readonly channels: Channels;
  readonly buildDigest: () => PeerDigest;
  readonly getState: () => FleetState;
  readonly onDigest: (digest: PeerDigest) => void;
  readonly onFailure: (error: unknown) => void;
  readonly signal: AbortSignal;
}

/** Time that changes of own work wait for others, in ms. */
const gatherMs = 40;
const heartbeatMs = 1_000;
/** Most peers that get each digest; others get it in turn. */
const maxFanOut = 12;
const stateTimeoutMs = 700;
const maxStateBytes = 8 * 1_048_576;
const statePath = "/state";
const ok = 200;
const notFound = 404;

/** Opens the link; resolves once it can be reached. */
export async function openPeerLink(
  options: PeerLinkOptions,
): Promise<PeerLink> {
  const server = await openStateServer(options);
  const socket = await openDatagrams(options);
  let planned: NodeJS.Timeout | undefined;
  let turn = 0;

  function sendDigest(): void {
    const digest = Buffer.from(JSON.stringify(options.buildDigest()));
    for (const address of pickTargets()) {
      const [host = "", port = ""] = address.split(":");
      socket.send(digest, Number(port), host, (error) => {
        if (error) options.onFailure(error);
      });
    }
  }

  function pickTargets(): readonly string[] {
    const registered = options.peers.listRegistered()
      .map(({ address }) => address);
    if (registered.length <= maxFanOut) return registered;
    turn += maxFanOut;
    return Array.from(
      { length: maxFanOut },
      (_, index) => registered[(turn + index) % registered.length] ?? "",
    );
  }

  async function sendHeartbeats(): Promise<void> {
    while (!options.signal.aborted) {
      sendDigest();
      await waitFor(heartbeatMs, options.signal);
    }
  }

  void sendHeartbeats();
  return {
    tellSoon(): void {
      planned ??= setTimeout(() => {
        planned = undefined;
        sendDigest();
      }, gatherMs);
    },
    fetchState: (address) => fetchState(address, options),
    close(): void {
      clearTimeout(planned);
      socket.close();
      server.close();
      server.closeAllConnections();
    },
  };
}

async function openStateServer(options: PeerLinkOptions): Promise<Server> {
  const server = createServer((request, response) => {
    request.resume();
    if (request.url !== statePath) {
      return void response.writeHead(notFound).end();
    }
    response.writeHead(ok, { "content-type": "application/json" });
    response.end(JSON.stringify(options.getState()));
  });
  await listen(server, options.address);
  return server;
}

function openDatagrams(options: PeerLinkOptions): Promise<Socket> {
  const [host = "", port = ""] = options.address.split(":");
  const socket = createSocket("udp4");
  socket.on("message", (message) => {
    const digest = parseDigest(message);
    if (digest) options.onDigest(digest);
    else options.onFailure(new Error("digest of an instance is malformed"));
  });
  return new Promise((resolve, reject) => {
    socket.once("error", reject);
    socket.bind(Number(port), host, () => {
      socket.removeListener("error", reject);
      socket.on("error", options.onFailure);
      resolve(socket);
    });
  });
}

/** Digests come from the system's own instances; a damaged one is dropped. */
function parseDigest(message: Buffer): PeerDigest | undefined {
  try {
    const digest: unknown = JSON.parse(message.toString());
    if (typeof digest !== "object" || digest === null) return undefined;
    const { name, address, loads } = digest as Partial<PeerDigest>;
    const whole = typeof name === "string" && typeof address === "string" &&
      typeof loads === "object";
    return whole ? digest as PeerDigest : undefined;
  } catch {
    return undefined;
  }
}

async function fetchState(
  address: string,
  options: PeerLinkOptions,
): Promise<FleetState> {
  const answer = await options.channels.exchange(address, {
    method: "GET",
    path: statePath,
    headers: [],
    signal: AbortSignal.any([
      options.signal,
      AbortSignal.timeout(stateTimeoutMs),
    ]),
  });
  const chunks: Buffer[] = [];
  let bytes = 0;
  for await (const chunk of answer.body) {
    chunks.push(chunk);
    bytes += chunk.length;
    if (bytes > maxStateBytes) throw new Error("state of a peer is too large");
  }
  return JSON.parse(Buffer.concat(chunks).toString()) as FleetState;
}
