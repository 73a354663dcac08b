/** Stand-in for the platform's lagging list of live and leaving processes. */
import type { Member, MemberState } from "@trefoildoor/core";
import {
  createFaults,
  type Faults,
  type StandinAnswer,
  startStandinServer,
} from "../shared/index.ts";

/** Settings of the list stand-in. */
export interface MemberListOptions {
  readonly members?: readonly Member[];
  /** Time until the list shows a change, in ms. */
  readonly lagMs?: number;
}

/** A running list stand-in. */
export interface MemberListStandin {
  readonly address: string;
  readonly faults: Faults;
  /** Adds a member or replaces the one of the same name. */
  readonly add: (member: Member) => void;
  readonly setState: (name: string, state: MemberState) => void;
  readonly remove: (name: string) => void;
  readonly setLag: (lagMs: number) => void;
  /** Answers with an empty list while true. */
  readonly setEmpty: (empty: boolean) => void;
  /** The list without its lag. */
  readonly listMembers: () => readonly Member[];
  readonly countReads: () => number;
  readonly close: () => Promise<void>;
}

interface Version {
  readonly sinceMs: number;
  readonly members: readonly Member[];
}

/** Starts the list stand-in. */
export async function startMemberListStandin(
  options: MemberListOptions = {},
): Promise<MemberListStandin> {
  const faults = createFaults();
  const versions: Version[] = [
    { sinceMs: -Infinity, members: options.members ?? [] },
  ];
  let lagMs = options.lagMs ?? 0;
  let empty = false;
  let reads = 0;

  const listMembers = (): readonly Member[] => versions.at(-1)?.members ?? [];
  const replaceMembers = (members: readonly Member[]): void => {
    versions.push({ sinceMs: performance.now(), members });
  };
  const listShown = (): readonly Member[] => {
    const edgeMs = performance.now() - lagMs;
    return versions.findLast(({ sinceMs }) => sinceMs <= edgeMs)?.members ?? [];
  };
  const handleList = (): StandinAnswer => {
    reads++;
    return { status: 200, body: { members: empty ? [] : listShown() } };
  };
  const server = await startStandinServer({
    faults,
    routes: { "GET /members": handleList },
  });
  return {
    address: server.address,
    faults,
    add: (member) =>
      replaceMembers([
        ...listMembers().filter(({ name }) => name !== member.name),
        member,
      ]),
    setState: (name, state) =>
      replaceMembers(
        listMembers().map((member) =>
          member.name === name ? { ...member, state } : member
        ),
      ),
    remove: (name) =>
      replaceMembers(listMembers().filter((member) => member.name !== name)),
    setLag: (ms) => {
      lagMs = ms;
    },
    setEmpty: (value) => {
      empty = value;
    },
    listMembers,
    countReads: () => reads,
    close: server.close,
  };
}
