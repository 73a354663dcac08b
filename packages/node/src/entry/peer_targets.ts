/**
 * Chooses the receivers of a digest. In the own failure domain, if it is small,
 * these are all members; in a large own domain and in every other domain it is
 * one instance, which relays the digest to the rest. So the number of datagrams
 * grows linearly with the instances, not with their square.
 */
import type { PeerAddress, PeerRegistry } from "@trefoildoor/core";

/** Receivers of one digest. */
export interface PeerTargets {
  readonly direct: readonly PeerAddress[];
  /** One instance for each failure domain that relays the digest to the rest of its domain. */
  readonly relays: readonly PeerAddress[];
}

/** Maximum number of other members of the own domain for sending to each directly: a dozen datagrams for each change are cheap. */
export const maxDirectMembers = 8;
/** Minimum number of instances of a domain that relay digests in rotation, as one may have failed. */
const minRelays = 3;
/**
 * Members of a domain for each instance that relays. The number of relays grows
 * with the domain, so that what each one sends does not.
 */
const membersPerRelay = 6;

/** Chooses the receivers among the registered instances; successive values of `rotation` rotate the relays. */
export function chooseTargets(
  registered: readonly PeerAddress[],
  { failureDomain, liveNames, rotation }: {
    readonly failureDomain: string;
    /** Names of the instances that are live now. */
    readonly liveNames: ReadonlySet<string>;
    readonly rotation: number;
  },
): PeerTargets {
  const direct: PeerAddress[] = [];
  const domains = new Map<string, PeerAddress[]>();
  for (const peer of registered) {
    // An instance without current digests may be unknown to the relays of its
    // domain too, so it gets the digest directly.
    if (!liveNames.has(peer.name)) {
      direct.push(peer);
      continue;
    }
    const members = domains.get(peer.failureDomain) ?? [];
    members.push(peer);
    domains.set(peer.failureDomain, members);
  }
  const own = domains.get(failureDomain) ?? [];
  if (own.length <= maxDirectMembers) {
    direct.push(...own);
    domains.delete(failureDomain);
  }
  const relays = [...domains.values()].flatMap((members) => {
    const candidates = members
      .toSorted((left, right) => left.name < right.name ? -1 : 1)
      .slice(0, Math.max(minRelays, members.length / membersPerRelay));
    return candidates[rotation % candidates.length] ?? [];
  });
  return { direct, relays };
}

/** Whether the own failure domain's instances tell each other what they place: its digests are old when they arrive, and none is of a former version. */
export function canHearPlacements(
  peers: PeerRegistry,
  failureDomain: string,
): boolean {
  return isRelayed(peers, failureDomain) &&
    peers.listLive().every((peer) =>
      peer.failureDomain !== failureDomain || peer.takesPlacements
    );
}

/** Whether digests reach a failure domain through its relays. */
export function isRelayed(peers: PeerRegistry, failureDomain: string): boolean {
  const members = peers.listRegistered().filter((peer) =>
    peer.failureDomain === failureDomain
  );
  return members.length > maxDirectMembers;
}
