/** One task for each peer: exchanges digests and fetches state that this instance cannot read itself. */
import {
  type ControlState,
  digestText,
  type FailureDomain,
  type InstanceName,
  logEvent,
  waitFor,
} from "@trefoildoor/core";
import { daemonEvents } from "../../events.ts";
import type { PeerClient } from "./client.ts";
import type { PeerDigest } from "./messages.ts";

/** Most peers that one instance exchanges with; others hear through these. */
export const maxPeers = 8;

/** A peer as the platform's list shows it. */
export interface PeerAddress {
  readonly name: string;
  readonly address: string;
  readonly failureDomain: string;
}

/** What the exchange with peers uses. */
export interface PeersParts {
  readonly instance: InstanceName;
  readonly intervalMs: number;
  readonly listPeers: () => readonly PeerAddress[];
  readonly openClient: (address: string) => PeerClient;
  readonly buildDigest: () => PeerDigest;
  readonly takeDigest: (digest: PeerDigest) => void;
  /** Whether a peer's control state is worth fetching. */
  readonly needsState: (peer: PeerDigest) => boolean;
  readonly takeState: (state: ControlState, from: InstanceName) => void;
}

/** Keeps one task for each chosen peer until the signal aborts. */
export async function keepPeers(
  parts: PeersParts,
  signal: AbortSignal,
): Promise<void> {
  const tasks = new Map<string, AbortController>();
  while (!signal.aborted) {
    const chosen = choosePeers(parts.listPeers(), parts.instance);
    const addresses = new Set(chosen.map((peer) => peer.address));
    for (const [address, task] of tasks) {
      if (addresses.has(address)) continue;
      task.abort();
      tasks.delete(address);
    }
    for (const peer of chosen) {
      if (tasks.has(peer.address)) continue;
      const task = new AbortController();
      tasks.set(peer.address, task);
      void keepPeer(peer, parts, {
        signal: AbortSignal.any([signal, task.signal]),
      });
    }
    await waitFor(parts.intervalMs, signal);
  }
}

/**
 * Takes one peer of each failure domain in turn, so that every domain is
 * heard, in an order of the instance's own, so that no peer is everyone's.
 */
function choosePeers(
  peers: readonly PeerAddress[],
  instance: InstanceName,
): readonly PeerAddress[] {
  const byDomain = new Map<FailureDomain, PeerAddress[]>();
  for (const peer of sortForInstance(peers, instance)) {
    const members = byDomain.get(peer.failureDomain) ?? [];
    byDomain.set(peer.failureDomain, [...members, peer]);
  }
  const chosen: PeerAddress[] = [];
  const wanted = Math.min(maxPeers, peers.length);
  for (let rank = 0; chosen.length < wanted; rank++) {
    const ranked = [...byDomain.values()].flatMap((members) =>
      members[rank] ?? []
    );
    chosen.push(...ranked.slice(0, wanted - chosen.length));
  }
  return chosen;
}

function sortForInstance(
  peers: readonly PeerAddress[],
  instance: InstanceName,
): readonly PeerAddress[] {
  return peers
    .map((peer) => ({
      peer,
      weight: digestText(`${instance} ${peer.address}`),
    }))
    .toSorted((left, right) => left.weight < right.weight ? -1 : 1)
    .map(({ peer }) => peer);
}

async function keepPeer(
  peer: PeerAddress,
  parts: PeersParts,
  { signal }: { readonly signal: AbortSignal },
): Promise<void> {
  const client = parts.openClient(peer.address);
  let reachable = true;
  while (!signal.aborted) {
    const heard = await exchangeOnce(client, parts);
    if (heard !== reachable) {
      reachable = heard;
      logEvent(
        heard ? daemonEvents.peerReachable : daemonEvents.peerUnreachable,
        { peer: peer.name },
      );
    }
    await waitFor(parts.intervalMs, signal);
  }
  await client.close();
}

async function exchangeOnce(
  client: PeerClient,
  parts: PeersParts,
): Promise<boolean> {
  try {
    const digest = await client.exchange(parts.buildDigest());
    parts.takeDigest(digest);
    if (parts.needsState(digest)) {
      parts.takeState(await client.fetchControlState(), digest.instance);
    }
    return true;
  } catch {
    return false;
  }
}
