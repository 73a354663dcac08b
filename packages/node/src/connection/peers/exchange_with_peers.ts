/** Exchanges digests with peers, one task each, and fetches control state that this instance cannot read itself. */
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

/** Most peers that one instance exchanges with; the others get its state through these. */
export const maxPeers = 8;

/** A peer from the platform's list of processes; the address is `host:port`. */
export interface PeerAddress {
  readonly name: string;
  readonly address: string;
  readonly failureDomain: string;
}

/** Functions and settings that the exchange with peers works with. */
export interface PeerExchangeDependencies {
  readonly instance: InstanceName;
  readonly intervalMs: number;
  readonly listPeers: () => readonly PeerAddress[];
  readonly openClient: (address: string) => PeerClient;
  readonly buildDigest: () => PeerDigest;
  readonly acceptDigest: (digest: PeerDigest) => void;
  /** Whether to fetch the control state of the peer that sent this digest. */
  readonly needsControlState: (peer: PeerDigest) => boolean;
  readonly acceptControlState: (
    state: ControlState,
    from: InstanceName,
  ) => void;
}

/** Runs one exchange task for each chosen peer until the signal aborts; follows changes of the list of peers. */
export async function exchangeWithPeers(
  dependencies: PeerExchangeDependencies,
  signal: AbortSignal,
): Promise<void> {
  const tasks = new Map<string, AbortController>();
  while (!signal.aborted) {
    const chosen = choosePeers(dependencies.listPeers(), dependencies.instance);
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
      void exchangeRepeatedly(peer, dependencies, {
        signal: AbortSignal.any([signal, task.signal]),
      });
    }
    await waitFor(dependencies.intervalMs, signal);
  }
}

/**
 * Chooses up to `maxPeers` peers, one of each failure domain in turn, so that
 * every domain is included. The order of peers differs from instance to
 * instance, so that not all instances choose the same peers.
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
  const count = Math.min(maxPeers, peers.length);
  for (let rank = 0; chosen.length < count; rank++) {
    const ranked = [...byDomain.values()].flatMap((members) =>
      members[rank] ?? []
    );
    chosen.push(...ranked.slice(0, count - chosen.length));
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

async function exchangeRepeatedly(
  peer: PeerAddress,
  dependencies: PeerExchangeDependencies,
  { signal }: { readonly signal: AbortSignal },
): Promise<void> {
  const client = dependencies.openClient(peer.address);
  let reachable = true;
  while (!signal.aborted) {
    const succeeded = await exchangeOnce(client, dependencies);
    if (succeeded !== reachable) {
      reachable = succeeded;
      logEvent(
        succeeded ? daemonEvents.peerReachable : daemonEvents.peerUnreachable,
        { peer: peer.name },
      );
    }
    await waitFor(dependencies.intervalMs, signal);
  }
  await client.close();
}

async function exchangeOnce(
  client: PeerClient,
  dependencies: PeerExchangeDependencies,
): Promise<boolean> {
  try {
    const digest = await client.exchange(dependencies.buildDigest());
    dependencies.acceptDigest(digest);
    if (dependencies.needsControlState(digest)) {
      dependencies.acceptControlState(
        await client.fetchControlState(),
        digest.instance,
      );
    }
    return true;
  } catch {
    return false;
  }
}
