/**
 * Whom a digest is sent to. Within a small failure domain it goes to everyone;
 * else to one instance of each domain, which gathers digests for the others, so
 * that datagrams grow with the instances and not with their square.
 */
import type { PeerAddress } from "@trefoildoor/core";

/** Receivers of one digest. */
export interface PeerTargets {
  readonly direct: readonly PeerAddress[];
  /** Instances that pass it on within their failure domains. */
  readonly relays: readonly PeerAddress[];
}

/** Other members of a domain up to which each is told directly: a dozen datagrams for each change stay cheap. */
export const mostDirectMembers = 8;
/** Instances of a domain that pass digests on in turn: one may be gone, and a narrow link is shared. */
const relaysOfDomain = 3;

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
  const domains = new Map<string, PeerAddress[]>();
  for (const peer of registered) {
    // An instance that is not heard may not be known in its domain, either.
    if (!heard.has(peer.name)) {
      direct.push(peer);
      continue;
    }
    const members = domains.get(peer.failureDomain) ?? [];
    members.push(peer);
    domains.set(peer.failureDomain, members);
  }
  const own = domains.get(failureDomain) ?? [];
  if (own.length <= mostDirectMembers) {
    direct.push(...own);
    domains.delete(failureDomain);
  }
  const relays = [...domains.values()].flatMap((members) => {
    const few = members
      .toSorted((left, right) => left.name < right.name ? -1 : 1)
      .slice(0, relaysOfDomain);
    return few[turn % few.length] ?? [];
  });
  return { direct, relays };
}
