/**
 * The link between instances: small digests as datagrams, sent when own work
 * changes and as a heartbeat; the state of the fleet over HTTP, fetched only by
 * an instance that is behind. A digest crosses to another failure domain once:
 * one instance there, another one each time, passes it on to the rest, in large
 * domains together with others. tRPC does not fit here: digests are datagrams, a
 * lost one is replaced by the next, and the import alone costs a restarted
 * process a tenth of a second.
 */
import { createSocket, type Socket } from "node:dgram";
import { createServer, type Server } from "node:http";
import {
  type EndpointSnapshot,
  type PeerAddress,
  type PeerDigest,
  type PeerRegistry,
  type RoutingConfiguration,
  waitFor,
} from "@trefoildoor/core";
import type { Channels } from "./channels.ts";
import { listen } from "./front_server.ts";
import { chooseTargets, mostDirectMembers } from "./peer_targets.ts";

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
  readonly failureDomain: string;
  /** IP number and port for both datagrams and HTTP. */
  readonly address: string;
  readonly peers: PeerRegistry;
  readonly channels: Channels;
  readonly buildDigest: () => PeerDigest;
  readonly getState: () => FleetState;
  readonly onDigest: (digest: PeerDigest) => void;
  readonly onFailure: (error: unknown) => void;
  readonly signal: AbortSignal;
}

/** A digest on its way. */
interface RelayedDigest extends PeerDigest {
  /** Whether the receiver passes it on within its failure domain. */
  readonly relay?: boolean;
}

/** Time that changes of own work wait for others, in ms, for each dozen of instances: datagrams grow with their number. */
const gatherMs = 40;
const gatheredInstances = 12;
const heartbeatMs = 1_000;
/** Time that digests wait for others before they are passed on in a large domain, in ms. */
const relayGatherMs = 200;
/** Digests in one datagram: some 10 KB, far below what one can hold. */
const digestsOfDatagram = 32;
const maxFirstTurn = 1_024;
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
  const socket = await openDatagrams(options, {
    onRelay: (digest) => relayDigest(digest),
  });
  let planned: NodeJS.Timeout | undefined;
  let sentMs = -Infinity;
  let relaying: NodeJS.Timeout | undefined;
  const waiting = new Map<string, PeerDigest>();
  // Instances that start together do not choose the same relay.
  let turn = Math.floor(Math.random() * maxFirstTurn);

  function sendDigest(): void {
    sentMs = performance.now();
    const digest = options.buildDigest();
    const plain = Buffer.from(JSON.stringify(digest));
    const relayed = Buffer.from(JSON.stringify({ ...digest, relay: true }));
    turn += 1;
    const { direct, relays } = chooseTargets(options.peers.listRegistered(), {
      failureDomain: options.failureDomain,
      heard: new Set(options.peers.listLive().map(({ name }) => name)),
      turn,
    });
    for (const { address } of direct) sendTo(address, plain);
    for (const { address } of relays) sendTo(address, relayed);
  }

  function sendTo(address: string, message: Buffer): void {
    const [host = "", port = ""] = address.split(":");
    socket.send(message, Number(port), host, (error) => {
      if (error) options.onFailure(error);
    });
  }

  function listOwnDomain(): readonly PeerAddress[] {
    return options.peers.listRegistered().filter((peer) =>
      peer.failureDomain === options.failureDomain
    );
  }

  /** Passes a digest on within the own failure domain. */
  function relayDigest(digest: PeerDigest): void {
    waiting.set(digest.name, digest);
    if (listOwnDomain().length <= mostDirectMembers) return sendWaiting();
    relaying ??= setTimeout(sendWaiting, relayGatherMs);
  }

  function sendWaiting(): void {
    clearTimeout(relaying);
    relaying = undefined;
    const digests = [...waiting.values()];
    waiting.clear();
    const messages: Buffer[] = [];
    for (let index = 0; index < digests.length; index += digestsOfDatagram) {
      const some = digests.slice(index, index + digestsOfDatagram);
      messages.push(Buffer.from(JSON.stringify(some)));
    }
    for (const { address } of listOwnDomain()) {
      for (const message of messages) sendTo(address, message);
    }
  }

  async function sendHeartbeats(): Promise<void> {
    while (!options.signal.aborted) {
      const restMs = sentMs + heartbeatMs - performance.now();
      if (restMs <= 0) sendDigest();
      await waitFor(restMs > 0 ? restMs : heartbeatMs, options.signal);
    }
  }

  function getGatherMs(): number {
    const instances = options.peers.countInstances();
    return gatherMs * Math.max(instances / gatheredInstances, 1);
  }

  void sendHeartbeats();
  return {
    tellSoon(): void {
      planned ??= setTimeout(() => {
        planned = undefined;
        sendDigest();
      }, getGatherMs());
    },
    fetchState: (address) => fetchState(address, options),
    close(): void {
      clearTimeout(planned);
      clearTimeout(relaying);
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

function openDatagrams(
  options: PeerLinkOptions,
  { onRelay }: { readonly onRelay: (digest: PeerDigest) => void },
): Promise<Socket> {
  const [host = "", port = ""] = options.address.split(":");
  const socket = createSocket("udp4");
  socket.on("message", (message) => {
    const parsed = parseDigests(message);
    if (!parsed) {
      return options.onFailure(
        new Error("digest of an instance is malformed"),
      );
    }
    for (const { relay, ...digest } of parsed) {
      if (relay) onRelay(digest);
      options.onDigest(digest);
    }
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
function parseDigests(message: Buffer): readonly RelayedDigest[] | undefined {
  try {
    const parsed: unknown = JSON.parse(message.toString());
    const digests: readonly unknown[] = Array.isArray(parsed)
      ? parsed
      : [parsed];
    return digests.every(isDigest) ? digests : undefined;
  } catch {
    return undefined;
  }
}

function isDigest(digest: unknown): digest is RelayedDigest {
  if (typeof digest !== "object" || digest === null) return false;
  const { name, address, loads } = digest as Partial<PeerDigest>;
  return typeof name === "string" && typeof address === "string" &&
    typeof loads === "object";
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
