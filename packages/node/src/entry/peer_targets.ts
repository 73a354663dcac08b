/**
 * Whom a digest is sent to: the own failure domain directly, any other one
 * through one of its instances, so that each digest crosses to it once.
 */
import type { PeerAddress } from "@trefoildoor/core";

/** Receivers of one digest. */
export interface PeerTargets {
  readonly direct: readonly PeerAddress[];
  /** Instances that pass it on within their failure domains. */
  readonly relays: readonly PeerAddress[];
}

/** Chooses the receivers; another `turn` chooses other relays. */
export function chooseTargets(
  registered: readonly PeerAddress[],
  { failureDomain, heard, turn }: {
    readonly failureDomain: string;
    /** Names of the instances that are heard now. */
    readonly heard: ReadonlySet<string>;
    readonly turn: number;
  },
): PeerTargets {
  const direct: PeerAddress[] = [];
  const elsewhere = new Map<string, PeerAddress[]>();
  for (const peer of registered) {
    // An instance that is not heard may not be known in its domain, either.
    if (peer.failureDomain === failureDomain || !heard.has(peer.name)) {
      direct.push(peer);
      continue;
    }
    const members = elsewhere.get(peer.failureDomain) ?? [];
    members.push(peer);
    elsewhere.set(peer.failureDomain, members);
  }
  const relays = [...elsewhere.values()]
    .flatMap((members) => members[turn % members.length] ?? []);
  return { direct, relays };
}
