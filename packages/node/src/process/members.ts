/** Follows the platform's list of live and leaving processes, and endpoints' own word. */
import {
  type EndpointName,
  type ListMembers,
  type Member,
  MemberKind,
  MemberState,
  waitFor,
} from "@trefoildoor/core";
import type { PeerAddress } from "../connection/peers/index.ts";

const pollIntervalMs = 500;
/** How long an endpoint's word that it leaves counts, in ms. */
const leavingWordMs = 30_000;

/** The newest list and what was heard beside it. */
export interface MemberBook {
  readonly listPeers: () => readonly PeerAddress[];
  /** Live instances, this one included. */
  readonly countInstances: () => number;
  readonly isLeaving: (endpoint: EndpointName) => boolean;
  /** Takes an endpoint's or a peer's word that an endpoint leaves. */
  readonly noteLeaving: (endpoint: EndpointName) => void;
  readonly listLeavingHeard: () => readonly EndpointName[];
  /** Polls the list until the signal aborts. */
  readonly keep: (signal: AbortSignal) => Promise<void>;
}

/** Creates the book; `ownAddress` is the instance's own peer address. */
export function createMemberBook(
  listMembers: ListMembers,
  options: { readonly ownAddress: string },
): MemberBook {
  let members: readonly Member[] = [];
  const heard = new Map<EndpointName, number>();
  const listInstances = (): readonly Member[] =>
    members.filter((member) => member.kind === MemberKind.Instance);
  const isHeard = (endpoint: EndpointName): boolean =>
    performance.now() - (heard.get(endpoint) ?? -Infinity) < leavingWordMs;
  return {
    listPeers: () =>
      listInstances().flatMap(({ name, peerAddress, failureDomain }) =>
        peerAddress === undefined || peerAddress === options.ownAddress
          ? []
          : [{ name, address: peerAddress, failureDomain }]
      ),
    countInstances: () =>
      Math.max(
        1,
        listInstances().filter((member) => member.state === MemberState.Live)
          .length,
      ),
    isLeaving: (endpoint) =>
      isHeard(endpoint) ||
      members.some((member) =>
        member.name === endpoint && member.state === MemberState.Leaving
      ),
    noteLeaving(endpoint): void {
      if (!isHeard(endpoint)) heard.set(endpoint, performance.now());
    },
    listLeavingHeard: () => [...heard.keys()].filter(isHeard),
    async keep(signal): Promise<void> {
      while (!signal.aborted) {
        // A list that cannot be read, or is empty, leaves the newest one in force.
        const list = await listMembers(signal).catch(() => []);
        if (list.length > 0) members = list;
        await waitFor(pollIntervalMs, signal);
      }
    },
  };
}
