/**
 * Which endpoints and instances take new work: the platform's lagging list,
 * endpoints' own answers and peers' word. A list that fails, is empty or lacks
 * members for a moment never empties the fleet.
 */
import { type LogEvent, logEvent, waitFor } from "../../shared/index.ts";
import type { EndpointName } from "../../types/names.ts";
import {
  type ListMembers,
  type Member,
  MemberKind,
  MemberState,
} from "../../types/platform.ts";
import { membershipEvents } from "./events.ts";
import { createLeavingWords } from "./leaving_words.ts";

/** Another instance as the list shows it. */
export interface ListedPeer {
  readonly name: string;
  /** Address at which peers reach it. */
  readonly address: string;
  readonly failureDomain: string;
}

/** What an instance knows of the others and of endpoints. */
export interface Membership {
  /** Other instances, leaving ones as well. */
  readonly listPeers: () => readonly ListedPeer[];
  /** Live instances, this one included. */
  readonly countInstances: () => number;
  /** Whether an endpoint gets no new work; false for one never heard of. */
  readonly isLeaving: (endpoint: EndpointName) => boolean;
  /** Takes an endpoint's own answer. */
  readonly noteLeaving: (endpoint: EndpointName, leaving?: boolean) => void;
  /** Takes a peer's word that an endpoint is leaving. */
  readonly notePeerWord: (endpoint: EndpointName) => void;
  /** Endpoints that told this instance that they are leaving, for its peers. */
  readonly listLeavingHeard: () => readonly EndpointName[];
  /** Time since the start of the last successful read, in ms. */
  readonly getAgeMs: () => number;
  /** Calls the listener after each change; returns its removal. */
  readonly onChange: (listener: () => void) => () => void;
  /** Polls the list until the signal aborts. */
  readonly keep: (signal: AbortSignal) => Promise<void>;
}

/** Settings of membership. */
export interface MembershipOptions {
  /** Address at which peers reach this instance. */
  readonly ownAddress: string;
  readonly intervalMs?: number;
  readonly logEvent?: LogEvent;
}

const defaultIntervalMs = 500;
/** Successive lists that lack a member before it counts as gone. */
const readsUntilGone = 3;
/** A list that lacks more of the known members is taken for incomplete. */
const maxMissingShare = 0.5;

interface KnownMember {
  readonly member: Member;
  /** Successive lists that lacked it. */
  missing: number;
}

/** Creates an instance's view, empty until the list has been read. */
export function createMembership(
  listMembers: ListMembers,
  options: MembershipOptions,
): Membership {
  const log = options.logEvent ?? logEvent;
  const known = new Map<string, KnownMember>();
  const words = createLeavingWords();
  const listeners = new Set<() => void>();
  let readMs = -Infinity;
  let readable = true;

  const notify = (): void => listeners.forEach((listener) => listener());
  const isGone = (entry: KnownMember): boolean =>
    entry.missing >= readsUntilGone;
  const listInstances = (): readonly Member[] =>
    [...known.values()].flatMap((entry) =>
      entry.member.kind === MemberKind.Instance && !isGone(entry)
        ? [entry.member]
        : []
    );
  const applyMember = (member: Member): void => {
    const earlier = known.get(member.name);
    known.set(member.name, { member, missing: 0 });
    const wasOut = earlier !== undefined &&
      (isGone(earlier) || earlier.member.state === MemberState.Leaving);
    const isLive = member.state === MemberState.Live;
    // A name that comes back is a new process, about which old words are void.
    if (wasOut && isLive) words.clear(member.name);
    if (!isLive && earlier?.member.state !== MemberState.Leaving) {
      log(membershipEvents.memberLeaving, { member: member.name });
    }
  };
  const applyMissing = (listed: ReadonlySet<string>): void => {
    const present = [...known].filter(([, entry]) => !isGone(entry));
    const missing = present.filter(([name]) => !listed.has(name));
    if (missing.length > present.length * maxMissingShare) return;
    for (const [name, entry] of missing) {
      entry.missing++;
      if (!isGone(entry)) continue;
      log(membershipEvents.memberGone, { member: name });
      if (entry.member.kind === MemberKind.Instance) known.delete(name);
    }
  };
  const noteReadable = (value: boolean): void => {
    if (readable === value) return;
    readable = value;
    log(
      value ? membershipEvents.listReadable : membershipEvents.listUnreadable,
    );
  };
  const readOnce = async (signal: AbortSignal): Promise<void> => {
    const startMs = performance.now();
    const members = await listMembers(signal).catch(() => []);
    if (signal.aborted) return;
    noteReadable(members.length > 0);
    if (members.length === 0) return;
    readMs = startMs;
    members.forEach(applyMember);
    applyMissing(new Set(members.map(({ name }) => name)));
    notify();
  };
  return {
    listPeers: () =>
      listInstances().flatMap(({ name, peerAddress, failureDomain }) =>
        peerAddress === undefined || peerAddress === options.ownAddress
          ? []
          : [{ name, address: peerAddress, failureDomain }]
      ),
    countInstances: () => {
      const live = listInstances().filter(({ state }) =>
        state === MemberState.Live
      );
      return Math.max(1, live.length);
    },
    isLeaving: (endpoint) => {
      const entry = known.get(endpoint);
      const listedOut = entry !== undefined &&
        (isGone(entry) || entry.member.state === MemberState.Leaving);
      return listedOut || words.has(endpoint);
    },
    noteLeaving: (endpoint, leaving = true) => {
      const before = words.has(endpoint);
      words.noteOwn(endpoint, leaving);
      if (before !== leaving) notify();
    },
    notePeerWord: (endpoint) => {
      words.notePeer(endpoint);
      notify();
    },
    listLeavingHeard: words.listOwn,
    getAgeMs: () => performance.now() - readMs,
    onChange: (listener) => {
      listeners.add(listener);
      return () => listeners.delete(listener);
    },
    keep: async (signal) => {
      while (!signal.aborted) {
        await readOnce(signal);
        await waitFor(options.intervalMs ?? defaultIntervalMs, signal);
      }
    },
  };
}
