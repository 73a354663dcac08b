/**
 * Tracks the load, health and cached prompt parts of each endpoint, from this
 * instance's own calls and their results and from the reports of its peers.
 */
import { type LogEvent, logEvent } from "../../shared/index.ts";
import type { EndpointName, PromptPart } from "../../types/index.ts";
import { fleetEvents } from "./events.ts";
import {
  createPeerReports,
  type EndpointLoad,
  type LoadReports,
} from "./peer_reports.ts";

/** How a call at an endpoint ended, as far as it shows the endpoint's health. */
export enum CallEnd {
  /** The endpoint answered, with any status. */
  Answered = "answered",
  /** The endpoint refused the call because it is at capacity; its health is unaffected. */
  Full = "full",
  /** The answer was malformed or reported a fault of the endpoint. */
  Failed = "failed",
  /** The connection broke, as when a process ends; the endpoint is avoided for a moment, and suspended if it happens again. */
  Broken = "broken",
  /** No answer came before the timeout; suspends the endpoint at once. */
  Late = "late",
  /** Nothing listens at the address, or another process than the listed one; suspends the endpoint at once. */
  Down = "down",
  /** The caller disconnected or the call was cancelled; the endpoint's health is unaffected. */
  Withdrawn = "withdrawn",
}

/** Prompt work of one call at an endpoint. */
export interface PromptWork {
  readonly tokens: number;
  readonly parts: readonly PromptPart[];
  /** Whether the goal for the first event is out of reach, so that the call queues behind calls in time. */
  readonly late: boolean;
}

/** Endpoints that an instance found down, with the remaining time of their suspension in ms. */
export type DownEndpoints = Readonly<Record<EndpointName, number>>;

/** Ids of prompt parts by engine. */
export type PartIdsByEndpoint = Readonly<
  Record<EndpointName, readonly string[]>
>;

/** Prompt parts that were recently sent to engines or computed by them. */
export interface PartReports {
  /** Parts that were sent to an engine, which may not have computed them yet. */
  readonly sent: PartIdsByEndpoint;
  /** Parts that an engine has computed. */
  readonly computed: PartIdsByEndpoint;
}

/** A call that is open at an endpoint. */
export interface OpenCall {
  /** Records that the prompt is computed; called when the first answer bytes arrive. */
  readonly markPromptComputed: () => void;
  /** Removes the call from the load and updates the endpoint's health; later calls have no effect. */
  readonly close: (end: CallEnd) => void;
}

/** Load, health and cached prompt parts of all endpoints. */
export interface EndpointTracker {
  readonly openCall: (
    endpoint: EndpointName,
    work?: PromptWork,
  ) => OpenCall;
  readonly getLoad: (endpoint: EndpointName) => EndpointLoad;
  /** Calls of this instance that are open at the endpoint. */
  readonly countOwnCalls: (endpoint: EndpointName) => number;
  /** Whether the endpoint is suspended after failures, own or a peer's, and is to be avoided. */
  readonly isSuspended: (endpoint: EndpointName) => boolean;
  /** Leading tokens of a prompt that the endpoint has cached or has been sent. */
  readonly countCachedTokens: (
    endpoint: EndpointName,
    parts: readonly PromptPart[],
    options?: {
      /** Counts only parts that are reported as computed or were sent long enough ago. */
      readonly computed?: boolean;
    },
  ) => number;
  /** Load of this instance's own calls, for its digest. */
  readonly getReports: () => LoadReports;
  /** Recent prompt parts of this instance's own calls, for its digest. */
  readonly listPartReports: () => PartReports;
  /** Applies the reports of a peer's digest; its loads count until they are `maxReportAgeMs` old. */
  readonly applyReports: (
    instance: string,
    reports: {
      readonly loads: LoadReports;
      readonly reads: PartReports;
      readonly down: DownEndpoints;
    },
  ) => void;
  /** Endpoints that this instance itself found down and that are still suspended. */
  readonly listDown: () => DownEndpoints;
  /** Discards the health and cached parts of an endpoint whose process has ended; its open calls still count. */
  readonly forget: (endpoint: EndpointName) => void;
  /** Ends all suspensions, as the failures were not the endpoints'. */
  readonly clearFailures: () => void;
  /** Adds a listener that is called whenever the load of this instance's own calls changes. */
  readonly onChange: (listener: () => void) => void;
}

/** Time after its last use for which a part is assumed to stay in an engine's KV cache, in ms. */
const cachedPartTtlMs = 15_000;
const maxCachedParts = 4_096;
/** Time for which a part event is repeated in digests, in ms: a few digests, as some get lost. */
const partReportMs = 500;
/** Time after which a prompt that was sent to an engine is assumed to be computed, in ms. */
const assumedComputedMs = 1_000;
/** Consecutive failures that suspend an endpoint. */
const failuresToSuspend = 2;
/** Length of the first suspension, in ms; each further one before an answer is twice as long, up to `maxSuspensionMs`. */
const minSuspensionMs = 700;
const maxSuspensionMs = 4_000;
/** Time for which an endpoint is avoided after one broken connection, in ms: until it is known whether its process has ended. */
const avoidedMs = 300;

/** When a part was sent to an engine, and whether it is known to be computed. */
interface CachedPart {
  readonly firstSeenMs: number;
  readonly lastSeenMs: number;
  readonly computed: boolean;
}

interface OwnEntry {
  calls: number;
  readTokens: number;
  lateTokens: number;
  /** End of the suspension, if this instance itself found the endpoint down. */
  downUntilMs: number;
  failures: number;
  suspensions: number;
  suspendedUntilMs: number;
  readonly cachedParts: Map<string, CachedPart>;
}

/** Prompt parts that were sent to an engine or computed there, to be reported to peers. */
interface PartEvent {
  readonly endpoint: EndpointName;
  readonly ids: readonly string[];
  readonly computed: boolean;
  readonly recordedMs: number;
}

/** Creates a tracker without calls, reports or suspensions. */
export function createEndpointTracker(
  options: { readonly logEvent?: LogEvent } = {},
): EndpointTracker {
  const log = options.logEvent ?? logEvent;
  const own = new Map<EndpointName, OwnEntry>();
  const peers = createPeerReports();
  const listeners: (() => void)[] = [];
  let partEvents: PartEvent[] = [];

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
      cachedParts: new Map(),
    };
    own.set(endpoint, created);
    return created;
  }

  function notifyListeners(): void {
    for (const listener of listeners) listener();
  }

  function recordEnd(endpoint: EndpointName, end: CallEnd): void {
    const entry = getEntry(endpoint);
    if (end === CallEnd.Withdrawn || end === CallEnd.Full) return;
    if (end === CallEnd.Answered) {
      if (entry.suspensions > 0) {
        log(fleetEvents.endpointRestored, { endpoint });
      }
      clearEntry(entry);
      return;
    }
    entry.failures += 1;
    const conclusive = end === CallEnd.Down || end === CallEnd.Late;
    if (!conclusive && entry.failures < failuresToSuspend) {
      if (end === CallEnd.Broken) {
        entry.suspendedUntilMs = Math.max(
          entry.suspendedUntilMs,
          performance.now() + avoidedMs,
        );
      }
      return;
    }
    const forMs = Math.min(
      minSuspensionMs * 2 ** entry.suspensions,
      maxSuspensionMs,
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
      let uncomputedTokens = work?.tokens ?? 0;
      let open = true;
      entry.calls += 1;
      entry[kind] += uncomputedTokens;
      /** Whether the prompt is computed. */
      let read = work === undefined;
      const recordParts = (computed: boolean): void => {
        const ids = work?.parts.map(({ id }) => id) ?? [];
        recordCachedParts(entry, ids, { computed });
        if (ids.length < 2) return;
        partEvents.push({
          endpoint,
          ids: ids.slice(0, -1),
          computed,
          recordedMs: performance.now(),
        });
      };
      // Calls in time are computed in order, so their parts count as cached from
      // now on; a late call may wait for long.
      if (!work?.late) recordParts(false);
      notifyListeners();
      const markPromptComputed = (): void => {
        if (read) return;
        read = true;
        entry[kind] -= uncomputedTokens;
        uncomputedTokens = 0;
        recordParts(true);
        notifyListeners();
      };
      return {
        markPromptComputed,
        close(end): void {
          if (!open) return;
          open = false;
          entry.calls -= 1;
          entry[kind] -= uncomputedTokens;
          uncomputedTokens = 0;
          recordEnd(endpoint, end);
          notifyListeners();
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
    countOwnCalls: (endpoint) => own.get(endpoint)?.calls ?? 0,
    isSuspended: (endpoint) =>
      (own.get(endpoint)?.suspendedUntilMs ?? -Infinity) > performance.now(),
    countCachedTokens(endpoint, parts, { computed = false } = {}): number {
      const cachedParts = own.get(endpoint)?.cachedParts;
      if (!cachedParts) return 0;
      const nowMs = performance.now();
      let tokens = 0;
      for (const { id, tokens: size } of parts) {
        const part = cachedParts.get(id);
        if (!part || nowMs - part.lastSeenMs > cachedPartTtlMs) return tokens;
        const computedByNow = part.computed ||
          nowMs - part.firstSeenMs >= assumedComputedMs;
        if (computed && !computedByNow) return tokens;
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
    listPartReports(): PartReports {
      const oldestMs = performance.now() - partReportMs;
      partEvents = partEvents.filter(({ recordedMs }) =>
        recordedMs >= oldestMs
      );
      return {
        sent: collectPartIds(partEvents.filter(({ computed }) => !computed)),
        computed: collectPartIds(partEvents.filter(({ computed }) => computed)),
      };
    },
    listDown(): DownEndpoints {
      const nowMs = performance.now();
      return Object.fromEntries(
        [...own]
          .filter(([, { downUntilMs }]) => downUntilMs > nowMs)
          .map(([name, { downUntilMs }]) => [name, downUntilMs - nowMs]),
      );
    },
    applyReports(instance, { loads, reads, down }): void {
      const nowMs = performance.now();
      peers.update(instance, loads);
      for (const [endpoint, ids] of Object.entries(reads.sent)) {
        recordCachedParts(getEntry(endpoint), ids, { computed: false });
      }
      for (const [endpoint, ids] of Object.entries(reads.computed)) {
        recordCachedParts(getEntry(endpoint), ids, { computed: true });
      }
      for (const [endpoint, leftMs] of Object.entries(down)) {
        const entry = getEntry(endpoint);
        entry.suspendedUntilMs = Math.max(
          entry.suspendedUntilMs,
          nowMs + Math.min(leftMs, maxSuspensionMs),
        );
      }
    },
    forget(endpoint): void {
      const entry = own.get(endpoint);
      if (!entry) return;
      if (entry.calls === 0) return void own.delete(endpoint);
      entry.cachedParts.clear();
      clearEntry(entry);
    },
    clearFailures(): void {
      for (const entry of own.values()) clearEntry(entry);
    },
    onChange: (listener) => void listeners.push(listener),
  };
}

function clearEntry(entry: OwnEntry): void {
  entry.failures = 0;
  entry.suspensions = 0;
  entry.suspendedUntilMs = -Infinity;
  entry.downUntilMs = -Infinity;
}

/** Merges part events into one list of ids without duplicates per endpoint. */
function collectPartIds(reads: readonly PartEvent[]): PartIdsByEndpoint {
  const idsByEndpoint: Record<EndpointName, string[]> = {};
  for (const { endpoint, ids } of reads) {
    idsByEndpoint[endpoint] = [
      ...new Set([...(idsByEndpoint[endpoint] ?? []), ...ids]),
    ];
  }
  return idsByEndpoint;
}

function recordCachedParts(
  entry: OwnEntry,
  ids: readonly string[],
  { computed }: { readonly computed: boolean },
): void {
  const nowMs = performance.now();
  for (const id of ids) {
    const known = entry.cachedParts.get(id);
    const fresh = known && nowMs - known.lastSeenMs <= cachedPartTtlMs;
    entry.cachedParts.delete(id);
    entry.cachedParts.set(id, {
      firstSeenMs: fresh ? known.firstSeenMs : nowMs,
      lastSeenMs: nowMs,
      computed: computed || (fresh === true && known.computed),
    });
  }
  for (const oldest of entry.cachedParts.keys()) {
    if (entry.cachedParts.size <= maxCachedParts) return;
    entry.cachedParts.delete(oldest);
  }
}
