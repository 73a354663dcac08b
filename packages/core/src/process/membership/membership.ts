/**
 * Tracks which endpoints and instances accept new work, from the platform's
 * list, which lags, endpoints' own answers and reports of peers. A list that
 * fails, is empty or lacks members for a moment never empties the fleet.
 */
import {
  type LogEvent,
  logEvent,
  waitAtMost,
  waitFor,
} from "../../shared/index.ts";
import type { EndpointName } from "../../types/names.ts";
import {
  type ListMembers,
  type Member,
  MemberKind,
  MemberState,
} from "../../types/platform.ts";
import { membershipEvents } from "./events.ts";
import { createLeavingReports } from "./leaving_reports.ts";

/** Another instance as the list shows it. */
export interface ListedPeer {
  readonly name: string;
  /** Address at which peers reach it. */
  readonly address: string;
  readonly failureDomain: string;
}

/** Other instances and leaving endpoints as known to one instance. */
export interface Membership {
  /** Other instances, leaving ones as well. */
  readonly listPeers: () => readonly ListedPeer[];
  /** Live instances, this one included. */
  readonly countInstances: () => number;
  /** Whether an endpoint gets no new work; false for an unknown endpoint. */
  readonly isLeaving: (endpoint: EndpointName) => boolean;
  /** Records whether an endpoint's own answer says that it is leaving. */
  readonly recordLeaving: (endpoint: EndpointName, leaving?: boolean) => void;
  /** Records a peer's report that an endpoint is leaving. */
  readonly recordPeerReport: (endpoint: EndpointName) => void;
  /** Endpoints that reported to this instance that they are leaving; sent to its peers. */
  readonly listReportedLeaving: () => readonly EndpointName[];
  /** Whether a call may be written to an endpoint now: it is not leaving, as a recent list says. */
  readonly mayWrite: (endpoint: EndpointName) => boolean;
  /** Reads the list if it is too old to send calls by; resolves, also without a recent list, within half a second. */
  readonly confirm: () => Promise<void>;
  /** Time since the start of the last successful read, in ms. */
  readonly getAgeMs: () => number;
  /** Calls the listener after each change; returns its removal. */
  readonly onChange: (listener: () => void) => () => void;
  /** Polls the list until the signal aborts. */
  readonly keep: (signal: AbortSignal) => Promise<void>;
}

/** Settings of the membership; `intervalMs` is the delay between two reads of the list. */
export interface MembershipOptions {
  /** Address at which peers reach this instance. */
  readonly ownAddress: string;
  readonly intervalMs?: number;
  readonly logEvent?: LogEvent;
}

const defaultIntervalMs = 500;
/** Age from which the list is read again before calls are sent by it, in ms: three reads have failed to come by then. */
const maxAgeMs = 1_500;
/** Longest time that calls wait for that, in ms. */
const confirmTimeoutMs = 500;
/** Successive lists without a member after which it counts as gone. */
const readsUntilGone = 3;
/** A list that lacks a larger share of the known members is treated as incomplete. */
const maxMissingShare = 0.5;

interface KnownMember {
  readonly member: Member;
  /** Number of successive lists without it. */
  missing: number;
}

/** Creates a membership without members until the first successful read. */
export function createMembership(
  listMembers: ListMembers,
  options: MembershipOptions,
): Membership {
  const log = options.logEvent ?? logEvent;
  const known = new Map<string, KnownMember>();
  const leavingReports = createLeavingReports();
  const listeners = new Set<() => void>();
  let readMs = -Infinity;
  let readable = true;
  let reading: Promise<void> | undefined;
  /** Whether the list could not be read in time, so that calls go on by the old one. */
  let unconfirmed = false;
  let keepSignal: AbortSignal | undefined;

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
    const wasUnavailable = earlier !== undefined &&
      (isGone(earlier) || earlier.member.state === MemberState.Leaving);
    const isLive = member.state === MemberState.Live;
    // A name that is listed again is a new process; earlier reports do not apply.
    if (wasUnavailable && isLive) leavingReports.clear(member.name);
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
  const recordReadable = (value: boolean): void => {
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
    recordReadable(members.length > 0);
    if (members.length === 0) return;
    readMs = startMs;
    unconfirmed = false;
    members.forEach(applyMember);
    applyMissing(new Set(members.map(({ name }) => name)));
    notify();
  };
  const readShared = (signal: AbortSignal): Promise<void> => {
    reading ??= readOnce(signal).finally(() => reading = undefined);
    return reading;
  };
  const getAgeMs = (): number => performance.now() - readMs;
  const isOutdated = (): boolean =>
    !unconfirmed && Number.isFinite(readMs) && getAgeMs() > maxAgeMs;
  const readUntilRecent = async (signal: AbortSignal): Promise<void> => {
    // One that has begun before may fail, or be as old.
    await readShared(signal);
    if (isOutdated()) await readShared(signal);
  };
  const isLeaving = (endpoint: EndpointName): boolean => {
    const entry = known.get(endpoint);
    const isUnavailable = entry !== undefined &&
      (isGone(entry) || entry.member.state === MemberState.Leaving);
    return isUnavailable || leavingReports.has(endpoint);
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
    isLeaving,
    mayWrite: (endpoint) => !isLeaving(endpoint) && !isOutdated(),
    confirm: async () => {
      if (!isOutdated() || !keepSignal) return;
      await waitAtMost(readUntilRecent(keepSignal), confirmTimeoutMs);
      if (!isOutdated()) return;
      unconfirmed = true;
      log(membershipEvents.listOutdated, { ageMs: Math.round(getAgeMs()) });
    },
    recordLeaving: (endpoint, leaving = true) => {
      const before = leavingReports.has(endpoint);
      leavingReports.recordOwn(endpoint, leaving);
      if (before !== leaving) notify();
    },
    recordPeerReport: (endpoint) => {
      leavingReports.recordPeer(endpoint);
      notify();
    },
    listReportedLeaving: leavingReports.listOwn,
    getAgeMs,
    onChange: (listener) => {
      listeners.add(listener);
      return () => listeners.delete(listener);
    },
    keep: async (signal) => {
      keepSignal = signal;
      while (!signal.aborted) {
        await readShared(signal);
        await waitFor(options.intervalMs ?? defaultIntervalMs, signal);
      }
    },
  };
}
