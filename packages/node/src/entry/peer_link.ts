/**
 * Communication between instances. Digests are sent as UDP datagrams after a
 * change of the own load and as heartbeats. The state of the fleet is served
 * over HTTP and fetched only by an instance that is behind. A digest is sent
 * once to each other failure domain: one instance there, in rotation, relays it
 * to the rest, in large domains batched with other digests. tRPC is not used:
 * digests are datagrams, a lost one is replaced by the next, and importing it
 * adds 0.1 s to the start of a process.
 */
import { createSocket, type Socket } from "node:dgram";
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import {
  type ActivityReport,
  type CrashReports,
  type EndpointSnapshot,
  type LimitReports,
  type ListUpdate,
  type PeerAddress,
  type PeerDigest,
  type PeerRegistry,
  type RoutingConfiguration,
  type StreamOrigin,
  waitFor,
} from "@trefoildoor/core";
import type { Channels } from "./channels.ts";
import {
  decodeDigests,
  decodePlacements,
  encodeDigests,
  encodeNearDigests,
  encodePlacements,
  type Placements,
  type RelayedDigest,
} from "./digest_codec.ts";
import { fetchContent } from "./fetch_content.ts";
import { listen, maxHeaderSizeBytes } from "./front_server.ts";
import { activityPath } from "./operator_calls.ts";
import { chooseTargets, isRelayed, maxDirectMembers } from "./peer_targets.ts";

/** State that an instance serves to one that is behind. */
export interface FleetState {
  readonly configuration?: RoutingConfiguration;
  readonly endpoints: EndpointSnapshot;
  /** Absent in states of former versions. */
  readonly crashes?: CrashReports;
  readonly limits?: LimitReports;
}

/** One instance's connection to the other instances. */
export interface PeerLink {
  /** Schedules a digest; changes within the batch delay share one. */
  readonly scheduleDigest: () => void;
  /** Sends the own failure domain a digest at once and directly, with changes of the list of endpoints. */
  readonly sendUpdate: (update: ListUpdate | undefined) => void;
  /** Tells the own failure domain at once what this instance has placed, if digests would tell it late. */
  readonly sendPlacements: (placed: Placements) => void;
  readonly fetchState: (address: string) => Promise<FleetState>;
  /** Asks some live instances where a stream began; resolves to undefined if none of them knows it in time. */
  readonly fetchOrigin: (key: string) => Promise<StreamOrigin | undefined>;
  readonly close: () => void;
}

/** Parts of a digest that are told once, and so to all instances together. */
export type DigestNews = Pick<
  PeerDigest,
  "crashes" | "origins" | "speeds" | "prompts"
>;

/** Why an instance sends or receives bytes of digests. */
export enum DigestTraffic {
  /** Sent: its own digests. */
  Own = "own",
  /** Sent: digests of others, relayed to the own failure domain. */
  Relayed = "relayed",
  Received = "received",
}

/** Dependencies and callbacks of the link. */
export interface PeerLinkOptions {
  readonly failureDomain: string;
  /** IP number and port for both datagrams and HTTP. */
  readonly address: string;
  readonly peers: PeerRegistry;
  readonly channels: Channels;
  readonly buildDigest: () => Omit<PeerDigest, keyof DigestNews>;
  /** What is told once, for a digest to all instances; each call counts as one that reached them. */
  readonly collectNews: () => DigestNews;
  /** Answers a peer's question where a stream began. */
  readonly findOrigin: (key: string) => StreamOrigin | undefined;
  readonly getState: () => FleetState;
  /** Counters of this instance's calls, by the path of the question; undefined where it counts none. */
  readonly findActivity?: (path: string) => ActivityReport | undefined;
  /** Answers a call that a peer hands over; false if the request is none. */
  readonly acceptCall?: (
    request: IncomingMessage,
    response: ServerResponse,
  ) => boolean;
  readonly onDigest: (digest: PeerDigest) => void;
  readonly onPlacements: (placed: Placements) => void;
  readonly onFailure: (error: unknown) => void;
  /** Called with the size of each datagram. */
  readonly onTraffic: (traffic: DigestTraffic, bytes: number) => void;
  readonly signal: AbortSignal;
}

/** Batch delay of load changes, in ms, for each `instancesPerBatchDelay` instances: the number of datagrams grows with the instances. */
const batchDelayMs = 40;
const instancesPerBatchDelay = 12;
const heartbeatMs = 1_000;
/** Batch delay of relayed digests in a large domain, in ms. */
const relayBatchDelayMs = 300;
/** Maximum number of digests in one datagram: a few KB, far below the size limit of a datagram. */
const maxDigestsPerDatagram = 32;
/** Transit and processing of a digest, in ms. */
const transitAllowanceMs = 40;
const maxInitialRotation = 1_024;
const stateTimeoutMs = 700;
const statePath = "/state";
const originPath = "/origins/";
/** Instances that are asked where a stream began, and how long, in ms. */
const maxAsked = 3;
const originTimeoutMs = 150;
/** Longest answers of other instances, in bytes. */
const maxStateBytes = 8 * 1_048_576;
const maxOriginBytes = 65_536;
/** Room for the headers of the link, in bytes. */
const linkHeaderBytes = 1_024;
const ok = 200;
const notFound = 404;

/** Opens the link; resolves once it can be reached, and rejects if the address cannot be bound. */
export async function openPeerLink(
  options: PeerLinkOptions,
): Promise<PeerLink> {
  const server = await openStateServer(options);
  const socket = await openDigestSocket(options, {
    onRelay: (digest) => relayDigest(digest),
  });
  let digestTimer: NodeJS.Timeout | undefined;
  let sentMs = -Infinity;
  let relayTimer: NodeJS.Timeout | undefined;
  const waiting = new Map<string, PeerDigest>();
  let isClosed = false;
  // Random, so that instances that start together do not choose the same relay.
  let rotation = Math.floor(Math.random() * maxInitialRotation);

  function sendDigest(): void {
    sentMs = performance.now();
    const digest = { ...options.buildDigest(), ...options.collectNews() };
    rotation += 1;
    const { direct, relays } = chooseTargets(options.peers.listRegistered(), {
      failureDomain: options.failureDomain,
      liveNames: new Set(options.peers.listLive().map(({ name }) => name)),
      rotation,
    });
    const traffic = DigestTraffic.Own;
    sendToAll(direct, { digests: [digest], traffic });
    sendToAll(relays, { digests: [{ ...digest, relay: true }], traffic });
  }

  /** Encodes the digests once for the own failure domain and once for the others, if they are among the receivers. */
  function sendToAll(
    receivers: readonly PeerAddress[],
    { digests, traffic }: {
      readonly digests: readonly RelayedDigest[];
      readonly traffic: DigestTraffic;
    },
  ): void {
    let near: Buffer | undefined;
    let far: Buffer | undefined;
    for (const { address, failureDomain } of receivers) {
      const message = failureDomain === options.failureDomain
        ? near ??= encodeNearDigests(digests)
        : far ??= encodeDigests(digests);
      sendTo(address, message, { traffic });
    }
  }

  function sendTo(
    address: string,
    message: Buffer,
    { traffic }: { readonly traffic: DigestTraffic },
  ): void {
    // Calls that end while the instance stops have news as well.
    if (isClosed) return;
    const [host = "", port = ""] = address.split(":");
    options.onTraffic(traffic, message.length);
    socket.send(message, Number(port), host, (error) => {
      if (error) options.onFailure(error);
    });
  }

  function listDomainPeers(): readonly PeerAddress[] {
    return options.peers.listRegistered().filter((peer) =>
      peer.failureDomain === options.failureDomain
    );
  }

  /** Sends a received digest to the own failure domain, at once in a small one and batched in a large one. */
  function relayDigest(digest: PeerDigest): void {
    waiting.set(digest.name, digest);
    if (listDomainPeers().length <= maxDirectMembers) return sendWaiting();
    relayTimer ??= setTimeout(sendWaiting, relayBatchDelayMs);
  }

  function sendWaiting(): void {
    clearTimeout(relayTimer);
    relayTimer = undefined;
    const digests = [...waiting.values()];
    waiting.clear();
    for (
      let index = 0;
      index < digests.length;
      index += maxDigestsPerDatagram
    ) {
      const batch = digests.slice(index, index + maxDigestsPerDatagram);
      sendToAll(listDomainPeers(), {
        digests: batch,
        traffic: DigestTraffic.Relayed,
      });
    }
  }

  async function sendHeartbeats(): Promise<void> {
    while (!options.signal.aborted) {
      const remainingMs = sentMs + heartbeatMs - performance.now();
      if (remainingMs <= 0) sendDigest();
      await waitFor(
        remainingMs > 0 ? remainingMs : heartbeatMs,
        options.signal,
      );
    }
  }

  void sendHeartbeats();
  return {
    scheduleDigest(): void {
      digestTimer ??= setTimeout(() => {
        digestTimer = undefined;
        sendDigest();
      }, getBatchDelayMs(options.peers));
    },
    sendUpdate(update): void {
      const digest = { ...options.buildDigest(), update };
      sendToAll(listDomainPeers(), {
        digests: [digest],
        traffic: DigestTraffic.Own,
      });
    },
    sendPlacements(placed): void {
      const message = encodePlacements(placed);
      for (const peer of options.peers.listLive()) {
        const isNear = peer.failureDomain === options.failureDomain;
        if (!isNear || !peer.takesPlacements) continue;
        sendTo(peer.address, message, { traffic: DigestTraffic.Own });
      }
    },
    fetchState: (address) => fetchState(address, options),
    fetchOrigin: (key) => fetchOrigin(key, options),
    close(): void {
      if (isClosed) return;
      isClosed = true;
      clearTimeout(digestTimer);
      clearTimeout(relayTimer);
      socket.close();
      server.close();
      server.closeAllConnections();
    },
  };
}

function getBatchDelayMs(peers: PeerRegistry): number {
  const instances = peers.countInstances();
  return batchDelayMs * Math.max(instances / instancesPerBatchDelay, 1);
}

/** Time until a change at one instance has reached all others by digests, in ms, unless digests get lost. */
export function estimateNewsDelayMs(
  peers: PeerRegistry,
  failureDomain: string,
): number {
  const relayMs = isRelayed(peers, failureDomain) ? relayBatchDelayMs : 0;
  return getBatchDelayMs(peers) + relayMs + transitAllowanceMs;
}

async function openStateServer(options: PeerLinkOptions): Promise<Server> {
  const server = createServer({
    noDelay: true,
    // A call that is handed over has the headers of its caller and some more.
    maxHeaderSize: maxHeaderSizeBytes + linkHeaderBytes,
  }, (request, response) => {
    if (options.acceptCall?.(request, response)) return;
    request.resume();
    const content = findContent(request.url ?? "", options);
    if (!content) return void response.writeHead(notFound).end();
    response.writeHead(ok, { "content-type": "application/json" });
    response.end(JSON.stringify(content));
  });
  await listen(server, options.address);
  return server;
}

function findContent(
  url: string,
  options: PeerLinkOptions,
): FleetState | StreamOrigin | ActivityReport | undefined {
  if (url === statePath) return options.getState();
  if (url.startsWith(activityPath)) return options.findActivity?.(url);
  if (!url.startsWith(originPath)) return undefined;
  try {
    return options.findOrigin(decodeURIComponent(url.slice(originPath.length)));
  } catch {
    // The key is not encoded as keys are.
    return undefined;
  }
}

function openDigestSocket(
  options: PeerLinkOptions,
  { onRelay }: { readonly onRelay: (digest: PeerDigest) => void },
): Promise<Socket> {
  const [host = "", port = ""] = options.address.split(":");
  const socket = createSocket("udp4");
  socket.on("message", (message) => {
    options.onTraffic(DigestTraffic.Received, message.length);
    const placed = decodePlacements(message);
    if (placed) return options.onPlacements(placed);
    const parsed = decodeDigests(message);
    if (!parsed) {
      return options.onFailure(
        new Error("digest of an instance is malformed"),
      );
    }
    for (const { relay, ...digest } of parsed) {
      try {
        if (relay) onRelay(digest);
        options.onDigest(digest);
      } catch (error) {
        options.onFailure(error);
      }
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

async function fetchState(
  address: string,
  options: PeerLinkOptions,
): Promise<FleetState> {
  const state = await fetchContent(address, {
    ...options,
    path: statePath,
    timeoutMs: stateTimeoutMs,
    maxBytes: maxStateBytes,
  });
  return state as FleetState;
}

/** Asks one instance of each failure domain first, at most `maxAsked` in all; those heard last come first, as others may have ended. */
async function fetchOrigin(
  key: string,
  options: PeerLinkOptions,
): Promise<StreamOrigin | undefined> {
  const live = options.peers.listLive().filter(({ stopping }) => !stopping)
    .toReversed();
  const domains = new Set<string>();
  const first = live.filter(({ failureDomain }) => {
    const isFirst = !domains.has(failureDomain);
    domains.add(failureDomain);
    return isFirst;
  });
  const asked = [...new Set([...first, ...live])].slice(0, maxAsked);
  const answers = asked.map(async ({ address }) =>
    await fetchContent(address, {
      ...options,
      path: `${originPath}${encodeURIComponent(key)}`,
      timeoutMs: originTimeoutMs,
      maxBytes: maxOriginBytes,
    }) as StreamOrigin
  );
  try {
    return await Promise.any(answers);
  } catch {
    return undefined;
  }
}
