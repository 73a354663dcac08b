/**
 * What an instance knows of each endpoint's load and health: its own calls,
 * the other instances' reports of theirs, and how calls ended.
 */
import { type LogEvent, logEvent } from "../../shared/index.ts";
import type { EndpointName, PromptPart } from "../../types/index.ts";
import { fleetEvents } from "./events.ts";
import {
  createPeerReports,
  type EndpointLoad,
  type LoadReports,
} from "./peer_reports.ts";

/** How a call at an endpoint ended, as far as the endpoint is to blame. */
export enum CallEnd {
  /** The endpoint answered, whatever it answered. */
  Answered = "answered",
  /** The endpoint refused for lack of room. */
  Full = "full",
  /** It broke off, or answered with wrong bytes. */
  Failed = "failed",
  /** It did not answer in the time in which it should have. */
  Late = "late",
  /** Nothing listens there, or it is not what the list says. */
  Down = "down",
  /** The caller left or the call was taken back; says nothing. */
  Withdrawn = "withdrawn",
}

/** Prompt work of one call at an endpoint. */
export interface ReadWork {
  readonly tokens: number;
  readonly parts: readonly PromptPart[];
  /** Whether the call is late already and goes behind the others. */
  readonly late: boolean;
}

/** Endpoints that an instance found down, with the time for which they get no work, in ms. */
export type DownNotes = Readonly<Record<EndpointName, number>>;

/** Parts of prompts by engine. */
export type ReadNotes = Readonly<Record<EndpointName, readonly string[]>>;

/** What became of parts of prompts of late. */
export interface ReadReports {
  /** Parts that were sent to engines. */
  readonly sent: ReadNotes;
  /** Parts that engines have computed. */
  readonly computed: ReadNotes;
}

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
    work?: ReadWork,
  ) => OpenCall;
  readonly getLoad: (endpoint: EndpointName) => EndpointLoad;
  /** Whether the endpoint has failed of late and is to be avoided. */
  readonly isSuspended: (endpoint: EndpointName) => boolean;
  /** Leading tokens of a prompt that the endpoint has computed, or is about to. */
  readonly countSeenTokens: (
    endpoint: EndpointName,
    parts: readonly PromptPart[],
    options?: {
      /** Counts only parts that the engine is known to have computed, or must have by now. */
      readonly computed?: boolean;
    },
  ) => number;
  /** Own work, for the other instances. */
  readonly getReports: () => LoadReports;
  /** Parts of this instance's prompts that engines were sent, or have computed, just now. */
  readonly listReads: () => ReadReports;
  /** Takes another instance's work; it counts until it is `maxReportAgeMs` old. */
  readonly takeReports: (
    instance: string,
    reports: {
      readonly loads: LoadReports;
      readonly reads: ReadReports;
      readonly down: DownNotes;
    },
  ) => void;
  /** Endpoints that this instance found down and that still get no work. */
  readonly listDown: () => DownNotes;
  /** Forgets all that was known of an endpoint's process. */
  readonly forget: (endpoint: EndpointName) => void;
  /** Calls the listener whenever own work changes. */
  readonly onChange: (listener: () => void) => void;
}

/** Time for which computed parts are taken to stay in an engine's memory, in ms. */
const seenTtlMs = 15_000;
const maxSeenParts = 4_096;
/** Time for which a read is told to the others, in ms: a few digests, as some get lost. */
const tellReadsMs = 500;
/** Time after which a prompt that was sent to an engine is taken to be computed, in ms. */
const settledReadMs = 1_000;
/** Failures in a row that suspend an endpoint. */
const suspendingFailures = 2;
const firstSuspensionMs = 700;
const longestSuspensionMs = 4_000;

/** When a part was sent to an engine, and whether it is known to be computed. */
interface SeenPart {
  readonly firstMs: number;
  readonly lastMs: number;
  readonly computed: boolean;
}

interface OwnEntry {
  calls: number;
  readTokens: number;
  lateTokens: number;
  /** Until when this instance has found the endpoint down. */
  downUntilMs: number;
  failures: number;
  suspensions: number;
  suspendedUntilMs: number;
  readonly seen: Map<string, SeenPart>;
}

/** A read that is told to the others. */
interface OwnRead {
  readonly endpoint: EndpointName;
  readonly ids: readonly string[];
  readonly computed: boolean;
  readonly notedMs: number;
}

/** Creates an empty board. */
export function createEndpointBoard(
  options: { readonly logEvent?: LogEvent } = {},
): EndpointBoard {
  const log = options.logEvent ?? logEvent;
  const own = new Map<EndpointName, OwnEntry>();
  const peers = createPeerReports();
  const listeners: (() => void)[] = [];
  let ownReads: OwnRead[] = [];

  function getEntry(endpoint: EndpointName): OwnEntry {
    const known = own.get(endpoint);
    if (known) return known;
    const created: OwnEntry = {
      calls: 0,
      readTokens: 0,
      lateTokens: 0,
      downUntilMs: -Infinity,
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
      entry.downUntilMs = -Infinity;
      return;
    }
    entry.failures += 1;
    const certain = end === CallEnd.Down || end === CallEnd.Late;
    if (!certain && entry.failures < suspendingFailures) return;
    const forMs = Math.min(
      firstSuspensionMs * 2 ** entry.suspensions,
      longestSuspensionMs,
    );
    entry.suspensions += 1;
    entry.suspendedUntilMs = performance.now() + forMs;
    if (end === CallEnd.Down) entry.downUntilMs = entry.suspendedUntilMs;
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
      const kind = work?.late ? "lateTokens" : "readTokens";
      let unread = work?.tokens ?? 0;
      let open = true;
      entry.calls += 1;
      entry[kind] += unread;
      let read = work === undefined;
      const noteParts = (computed: boolean): void => {
        const ids = work?.parts.map(({ id }) => id) ?? [];
        noteSeen(entry, ids, { computed });
        if (ids.length < 2) return;
        ownReads.push({
          endpoint,
          ids: ids.slice(0, -1),
          computed,
          notedMs: performance.now(),
        });
      };
      // Prompts in time queue behind each other, so their parts count from now
      // on; a late one may wait for long.
      if (!work?.late) noteParts(false);
      tellListeners();
      const noteRead = (): void => {
        if (read) return;
        read = true;
        entry[kind] -= unread;
        unread = 0;
        noteParts(true);
        tellListeners();
      };
      return {
        noteRead,
        close(end): void {
          if (!open) return;
          open = false;
          entry.calls -= 1;
          entry[kind] -= unread;
          unread = 0;
          noteEnd(endpoint, end);
          tellListeners();
        },
      };
    },
    getLoad(endpoint): EndpointLoad {
      const entry = own.get(endpoint);
      const sum = peers.get(endpoint);
      return {
        calls: (entry?.calls ?? 0) + (sum?.calls ?? 0),
        readTokens: (entry?.readTokens ?? 0) + (sum?.readTokens ?? 0),
        lateTokens: (entry?.lateTokens ?? 0) + (sum?.lateTokens ?? 0),
      };
    },
    isSuspended: (endpoint) =>
      (own.get(endpoint)?.suspendedUntilMs ?? -Infinity) > performance.now(),
    countSeenTokens(endpoint, parts, { computed = false } = {}): number {
      const seen = own.get(endpoint)?.seen;
      if (!seen) return 0;
      const nowMs = performance.now();
      let tokens = 0;
      for (const { id, tokens: size } of parts) {
        const part = seen.get(id);
        if (!part || nowMs - part.lastMs > seenTtlMs) return tokens;
        const settled = part.computed || nowMs - part.firstMs >= settledReadMs;
        if (computed && !settled) return tokens;
        tokens += size;
      }
      return tokens;
    },
    getReports(): LoadReports {
      const busy = [...own].filter(([, entry]) => entry.calls > 0);
      return Object.fromEntries(
        busy.map(([name, { calls, readTokens, lateTokens }]) => [
          name,
          {
            calls,
            readTokens: Math.round(readTokens),
            lateTokens: Math.round(lateTokens),
          },
        ]),
      );
    },
    listReads(): ReadReports {
      const oldestMs = performance.now() - tellReadsMs;
      ownReads = ownReads.filter(({ notedMs }) => notedMs >= oldestMs);
      return {
        sent: sortReads(ownReads.filter(({ computed }) => !computed)),
        computed: sortReads(ownReads.filter(({ computed }) => computed)),
      };
    },
    listDown(): DownNotes {
      const nowMs = performance.now();
      return Object.fromEntries(
        [...own]
          .filter(([, { downUntilMs }]) => downUntilMs > nowMs)
          .map(([name, { downUntilMs }]) => [name, downUntilMs - nowMs]),
      );
    },
    takeReports(instance, { loads, reads, down }): void {
      const nowMs = performance.now();
      peers.take(instance, loads);
      for (const [endpoint, ids] of Object.entries(reads.sent)) {
        noteSeen(getEntry(endpoint), ids, { computed: false });
      }
      for (const [endpoint, ids] of Object.entries(reads.computed)) {
        noteSeen(getEntry(endpoint), ids, { computed: true });
      }
      for (const [endpoint, leftMs] of Object.entries(down)) {
        const entry = getEntry(endpoint);
        entry.suspendedUntilMs = Math.max(
          entry.suspendedUntilMs,
          nowMs + Math.min(leftMs, longestSuspensionMs),
        );
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
      entry.downUntilMs = -Infinity;
    },
    onChange: (listener) => void listeners.push(listener),
  };
}

/** Sorts the parts of reads by their engines. */
function sortReads(reads: readonly OwnRead[]): ReadNotes {
  const notes: Record<EndpointName, string[]> = {};
  for (const { endpoint, ids } of reads) {
    notes[endpoint] = [...new Set([...(notes[endpoint] ?? []), ...ids])];
  }
  return notes;
}

function noteSeen(
  entry: OwnEntry,
  ids: readonly string[],
  { computed }: { readonly computed: boolean },
): void {
  const nowMs = performance.now();
  for (const id of ids) {
    const known = entry.seen.get(id);
    const kept = known && nowMs - known.lastMs <= seenTtlMs;
    entry.seen.delete(id);
    entry.seen.set(id, {
      firstMs: kept ? known.firstMs : nowMs,
      lastMs: nowMs,
      computed: computed || (kept === true && known.computed),
    });
  }
  for (const oldest of entry.seen.keys()) {
    if (entry.seen.size <= maxSeenParts) return;
    entry.seen.delete(oldest);
  }
}
