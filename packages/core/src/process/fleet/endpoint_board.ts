/**
 * What an instance knows of each endpoint's load and health: its own calls,
 * the other instances' reports of theirs, and how calls ended.
 */
import { type LogEvent, logEvent } from "../../shared/index.ts";
import type { EndpointName, PromptPart } from "../../types/index.ts";
import { fleetEvents } from "./events.ts";

/** How a call at an endpoint ended, as far as the endpoint is to blame. */
export enum CallEnd {
  /** The endpoint answered, whatever it answered. */
  Answered = "answered",
  /** The endpoint refused for lack of room. */
  Full = "full",
  /** It could not be reached, broke off, or answered with wrong bytes. */
  Failed = "failed",
  /** It did not answer in the time in which it should have. */
  Late = "late",
  /** The caller left or the call was taken back; says nothing. */
  Withdrawn = "withdrawn",
}

/** Load of one endpoint, all instances together. */
export interface EndpointLoad {
  /** Calls that run or wait there. */
  readonly calls: number;
  /** Prompt tokens that were sent there to be computed and are not yet. */
  readonly readTokens: number;
}

/** Work that one instance has at endpoints, as it tells the others. */
export type LoadReports = Readonly<Record<EndpointName, EndpointLoad>>;

/** A call that is open at an endpoint. */
export interface OpenCall {
  /** The prompt is computed: the first answer bytes came. */
  readonly noteRead: () => void;
  readonly close: (end: CallEnd) => void;
}

/** Loads and health of endpoints. */
export interface EndpointBoard {
  readonly openCall: (
    endpoint: EndpointName,
    work?: { readonly readTokens: number; readonly parts: readonly PromptPart[] },
  ) => OpenCall;
  readonly getLoad: (endpoint: EndpointName) => EndpointLoad;
  /** Whether the endpoint has failed of late and is to be avoided. */
  readonly isSuspended: (endpoint: EndpointName) => boolean;
  /** Leading tokens of a prompt that the endpoint has computed for this instance. */
  readonly countSeenTokens: (
    endpoint: EndpointName,
    parts: readonly PromptPart[],
  ) => number;
  /** Own work, for the other instances. */
  readonly getReports: () => LoadReports;
  /** Takes another instance's work; it counts until it is `maxReportAgeMs` old. */
  readonly takeReports: (instance: string, reports: LoadReports) => void;
  /** Forgets all that was known of an endpoint's process. */
  readonly forget: (endpoint: EndpointName) => void;
  /** Calls the listener whenever own work changes. */
  readonly onChange: (listener: () => void) => void;
}

/** Age at which another instance's report no longer counts, in ms: three times its heartbeat. */
const maxReportAgeMs = 3_000;
/** Time for which computed parts are taken to stay in an engine's memory, in ms. */
const seenTtlMs = 20_000;
const maxSeenParts = 4_096;
/** Failures in a row that suspend an endpoint. */
const suspendingFailures = 2;
const firstSuspensionMs = 500;
const longestSuspensionMs = 4_000;

interface OwnEntry {
  calls: number;
  readTokens: number;
  failures: number;
  suspensions: number;
  suspendedUntilMs: number;
  readonly seen: Map<string, number>;
}

interface PeerEntry {
  readonly takenMs: number;
  readonly reports: LoadReports;
}

/** Creates an empty board. */
export function createEndpointBoard(
  options: { readonly logEvent?: LogEvent } = {},
): EndpointBoard {
  const log = options.logEvent ?? logEvent;
  const own = new Map<EndpointName, OwnEntry>();
  const peers = new Map<string, PeerEntry>();
  const listeners: (() => void)[] = [];

  function getEntry(endpoint: EndpointName): OwnEntry {
    const known = own.get(endpoint);
    if (known) return known;
    const created: OwnEntry = {
      calls: 0,
      readTokens: 0,
      failures: 0,
      suspensions: 0,
      suspendedUntilMs: -Infinity,
      seen: new Map(),
    };
    own.set(endpoint, created);
    return created;
  }

  function tellListeners(): void {
    for (const listener of listeners) listener();
  }

  function noteEnd(endpoint: EndpointName, end: CallEnd): void {
    const entry = getEntry(endpoint);
    if (end === CallEnd.Withdrawn || end === CallEnd.Full) return;
    if (end === CallEnd.Answered) {
      if (entry.suspensions > 0) {
        log(fleetEvents.endpointRestored, { endpoint });
      }
      entry.failures = 0;
      entry.suspensions = 0;
      entry.suspendedUntilMs = -Infinity;
      return;
    }
    entry.failures += 1;
    if (entry.failures < suspendingFailures) return;
    const forMs = Math.min(
      firstSuspensionMs * 2 ** entry.suspensions,
      longestSuspensionMs,
    );
    entry.suspensions += 1;
    entry.suspendedUntilMs = performance.now() + forMs;
    log(fleetEvents.endpointSuspended, {
      endpoint,
      failures: entry.failures,
      end,
      forMs,
    });
  }

  return {
    openCall(endpoint, work): OpenCall {
      const entry = getEntry(endpoint);
      let unread = work?.readTokens ?? 0;
      let open = true;
      entry.calls += 1;
      entry.readTokens += unread;
      tellListeners();
      const noteRead = (): void => {
        if (unread === 0) return;
        entry.readTokens -= unread;
        unread = 0;
        noteSeen(entry, work?.parts ?? []);
        tellListeners();
      };
      return {
        noteRead,
        close(end): void {
          if (!open) return;
          open = false;
          entry.calls -= 1;
          entry.readTokens -= unread;
          unread = 0;
          noteEnd(endpoint, end);
          tellListeners();
        },
      };
    },
    getLoad(endpoint): EndpointLoad {
      const entry = own.get(endpoint);
      let calls = entry?.calls ?? 0;
      let readTokens = entry?.readTokens ?? 0;
      const oldestMs = performance.now() - maxReportAgeMs;
      for (const peer of peers.values()) {
        if (peer.takenMs < oldestMs) continue;
        const report = peer.reports[endpoint];
        calls += report?.calls ?? 0;
        readTokens += report?.readTokens ?? 0;
      }
      return { calls, readTokens };
    },
    isSuspended: (endpoint) =>
      (own.get(endpoint)?.suspendedUntilMs ?? -Infinity) > performance.now(),
    countSeenTokens(endpoint, parts): number {
      const seen = own.get(endpoint)?.seen;
      if (!seen) return 0;
      const oldestMs = performance.now() - seenTtlMs;
      let tokens = 0;
      for (const part of parts) {
        if ((seen.get(part.id) ?? -Infinity) < oldestMs) return tokens;
        tokens += part.tokens;
      }
      return tokens;
    },
    getReports(): LoadReports {
      const busy = [...own].filter(([, entry]) => entry.calls > 0);
      return Object.fromEntries(
        busy.map(([name, { calls, readTokens }]) => [
          name,
          { calls, readTokens },
        ]),
      );
    },
    takeReports(instance, reports): void {
      const nowMs = performance.now();
      peers.set(instance, { takenMs: nowMs, reports });
      for (const [name, peer] of peers) {
        if (nowMs - peer.takenMs > maxReportAgeMs) peers.delete(name);
      }
    },
    forget(endpoint): void {
      const entry = own.get(endpoint);
      if (!entry) return;
      if (entry.calls === 0) return void own.delete(endpoint);
      entry.seen.clear();
      entry.failures = 0;
      entry.suspensions = 0;
      entry.suspendedUntilMs = -Infinity;
    },
    onChange: (listener) => void listeners.push(listener),
  };
}

function noteSeen(entry: OwnEntry, parts: readonly PromptPart[]): void {
  const nowMs = performance.now();
  for (const part of parts) {
    entry.seen.delete(part.id);
    entry.seen.set(part.id, nowMs);
  }
  for (const oldest of entry.seen.keys()) {
    if (entry.seen.size <= maxSeenParts) return;
    entry.seen.delete(oldest);
  }
}
