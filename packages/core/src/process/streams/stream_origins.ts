/**
 * Remembers which software version of which service began each recent stream.
 * A caller may take its stream up at any instance, also after the first one has
 * ended, so instances report the streams that they begin while several versions
 * serve. An instance that does not know a stream asks its peers; the stored
 * record of versions tells it which ones may have begun the stream.
 */
import { createHash } from "node:crypto";
import type { LogEvent } from "../../shared/index.ts";
import { logEvent } from "../../shared/index.ts";
import type { ListedEndpoint, ServiceName } from "../../types/index.ts";
import { streamEvents } from "./events.ts";
import { createVersionHistory } from "./version_history.ts";

/** Where a stream began. */
export interface StreamOrigin {
  readonly service: ServiceName;
  /** Version of the endpoint's software; "" if it states none. */
  readonly version: string;
}

/** Keys of streams that one instance has begun, by service and version. */
export type OriginReports = Readonly<
  Record<ServiceName, Readonly<Record<string, readonly string[]>>>
>;

/** A stream that a caller takes up. */
export interface TakenUpStream {
  /** Id of the call that takes it up. */
  readonly call: string;
  /** Id of the call that brought its first event; undefined if the caller names none. */
  readonly resumes: string | undefined;
  /** Services to which the call may go. */
  readonly services: readonly ServiceName[];
}

/** Origins of recent streams, as far as one instance knows them. */
export interface StreamOrigins {
  /** Records the endpoint that brought the first event of a stream, by the id of the call. */
  readonly recordBegun: (call: string, endpoint: ListedEndpoint) => void;
  /**
   * Finds where a stream began, with the help of the peers if needed. A stream
   * that no instance knows began at the only version that has served lately;
   * undefined if there were several, so that it must not go on.
   */
  readonly resolve: (
    stream: TakenUpStream,
  ) => Promise<StreamOrigin | undefined>;
  /** Answers a peer's question by the key of a stream. */
  readonly findByKey: (key: string) => StreamOrigin | undefined;
  /** What the next digest reports; undefined if there is nothing. */
  readonly collectReports: () => OriginReports | undefined;
  /** Applies the reports of a peer's digest. */
  readonly applyReports: (reports: OriginReports, instance: string) => void;
  /** Number of streams whose origin is known. */
  readonly count: () => number;
}

/** Dependencies of the origins. */
export interface StreamOriginsOptions {
  /** All listed endpoints, including leaving ones. */
  readonly listEndpoints: () => readonly ListedEndpoint[];
  /** Age of the list of endpoints, in ms. */
  readonly getListAgeMs: () => number;
  /** Versions of a service in the stored record, which others may have written; undefined before it was read. */
  readonly listStored: (service: ServiceName) => readonly string[] | undefined;
  /** Adds the version of a stream that begins to the stored record. */
  readonly addStored: (origin: StreamOrigin) => void;
  /**
   * Reads what the store has accepted of the list until now; resolves to the
   * endpoints that were listed since the last read, or to undefined if the
   * store cannot be read.
   */
  readonly readChanges: () => Promise<readonly ListedEndpoint[] | undefined>;
  /** Asks peers for the origin of a stream; resolves to undefined if none of them knows it. */
  readonly askPeers: (key: string) => Promise<StreamOrigin | undefined>;
  readonly logEvent?: LogEvent;
}

/** Time for which a stream may be taken up, in ms: longer than the longest stream with its caller's retries. */
export const originRetentionMs = 60_000;
const maxOrigins = 65_536;
/** Number of digests that report a stream, and the pause between them in ms, as digests that are close get lost together. */
const repeats = 3;
const repeatIntervalMs = 400;
/** Streams of one digest, the newest first, so that a batch of relayed digests fits a datagram. */
const maxPerDigest = 32;
const maxWaiting = 2_048;
/** Age of the list of endpoints above which it may lack a new version, in ms. */
const maxListAgeMs = 2_000;
/** Length of a key in characters of base64, of 6 bits each. */
const keyLength = 8;

interface KnownOrigin extends StreamOrigin {
  readonly recordedMs: number;
  /** "own", or the instance that reported it. */
  readonly from: string;
}

interface WaitingReport extends StreamOrigin {
  repeatsLeft: number;
  nextMs: number;
}

/** Creates a record without streams. */
export function createStreamOrigins(
  options: StreamOriginsOptions,
): StreamOrigins {
  const log = options.logEvent ?? logEvent;
  const startedMs = performance.now();
  /** By key, oldest first. */
  const origins = new Map<string, KnownOrigin>();
  /** Own streams that peers have not been told often enough, oldest first. */
  const waiting = new Map<string, WaitingReport>();
  const history = createVersionHistory({
    listEndpoints: options.listEndpoints,
    retentionMs: originRetentionMs,
  });

  function setOrigin(key: string, origin: KnownOrigin): void {
    origins.delete(key);
    origins.set(key, origin);
    const oldestMs = performance.now() - originRetentionMs;
    for (const [oldest, { recordedMs }] of origins) {
      if (recordedMs >= oldestMs && origins.size <= maxOrigins) return;
      origins.delete(oldest);
    }
  }

  function find(key: string): KnownOrigin | undefined {
    const known = origins.get(key);
    const expired = known &&
      performance.now() - known.recordedMs > originRetentionMs;
    return expired ? undefined : known;
  }

  async function findOrAsk(key: string): Promise<KnownOrigin | undefined> {
    const known = find(key);
    if (known) return known;
    const told = await options.askPeers(key);
    if (!told) return find(key);
    const origin = { ...told, recordedMs: performance.now(), from: "asked" };
    setOrigin(key, origin);
    return origin;
  }

  /** Versions that may have begun a stream within the retention, and whether these are all; `changed` are endpoints that may have left again. */
  function listCandidates(
    services: readonly ServiceName[],
    changed: readonly ListedEndpoint[],
  ): {
    readonly candidates: readonly StreamOrigin[];
    readonly complete: boolean;
  } {
    const watchedMs = performance.now() - startedMs;
    const candidates = services.flatMap((service) => {
      const versions = new Set(history.list(service));
      for (const each of options.listStored(service) ?? []) versions.add(each);
      for (const each of changed) {
        if (each.service === service) versions.add(each.softwareVersion ?? "");
      }
      return [...versions].map((version) => ({ service, version }));
    });
    const complete = watchedMs >= originRetentionMs ||
      services.every((each) => options.listStored(each) !== undefined);
    return { candidates, complete };
  }

  return {
    recordBegun(call, { service, softwareVersion: version = "" }): void {
      const key = computeKey(call);
      const nowMs = performance.now();
      setOrigin(key, { service, version, recordedMs: nowMs, from: "own" });
      options.addStored({ service, version });
      waiting.delete(key);
      waiting.set(key, {
        service,
        version,
        repeatsLeft: repeats,
        nextMs: nowMs,
      });
      const [oldest] = waiting.keys();
      if (waiting.size > maxWaiting && oldest !== undefined) {
        waiting.delete(oldest);
      }
    },
    async resolve(
      { call, resumes, services },
    ): Promise<StreamOrigin | undefined> {
      const origin = resumes === undefined
        ? undefined
        : await findOrAsk(computeKey(resumes));
      // The own list may lack a version that peers know, for instance after a
      // suspension, in which the steady clock stands still as well.
      const changed = origin ? [] : await options.readChanges();
      const nowMs = performance.now();
      const { candidates, complete } = listCandidates(services, changed ?? []);
      const fields = {
        call,
        resumes,
        versions: candidates.map(({ version }) => version).join(" "),
        changesRead: changed !== undefined,
        listAgeMs: Math.round(Math.min(options.getListAgeMs(), 1e9)),
        sinceStartMs: Math.round(nowMs - startedMs),
      };
      if (origin) {
        log(streamEvents.originFound, {
          ...fields,
          version: origin.version,
          service: origin.service,
          from: origin.from,
          ageMs: Math.round(nowMs - origin.recordedMs),
        });
        return { service: origin.service, version: origin.version };
      }
      const [only] = candidates;
      const isSure = candidates.length === 1 && complete &&
        changed !== undefined && options.getListAgeMs() <= maxListAgeMs;
      log(
        isSure ? streamEvents.originAssumed : streamEvents.originUnknown,
        fields,
      );
      return isSure ? only : undefined;
    },
    findByKey(key): StreamOrigin | undefined {
      const known = find(key);
      return known && { service: known.service, version: known.version };
    },
    collectReports(): OriginReports | undefined {
      const reports: Record<ServiceName, Record<string, string[]>> = {};
      const mixed = new Map<ServiceName, boolean>();
      const nowMs = performance.now();
      let count = 0;
      for (const [key, report] of [...waiting].toReversed()) {
        const { service, version } = report;
        const isMixed = mixed.get(service) ?? history.list(service).length > 1;
        mixed.set(service, isMixed);
        if (!find(key)) waiting.delete(key);
        if (!isMixed || report.nextMs > nowMs) continue;
        const keys = (reports[service] ??= {})[version] ??= [];
        keys.push(key);
        report.nextMs = nowMs + repeatIntervalMs;
        report.repeatsLeft -= 1;
        if (report.repeatsLeft === 0) waiting.delete(key);
        count += 1;
        if (count === maxPerDigest) break;
      }
      return count > 0 ? reports : undefined;
    },
    applyReports(reports, instance): void {
      const recordedMs = performance.now();
      for (const [service, versions] of Object.entries(reports)) {
        for (const [version, keys] of Object.entries(versions)) {
          for (const key of keys) {
            if (find(key)) continue;
            setOrigin(key, { service, version, recordedMs, from: instance });
          }
        }
      }
    },
    count: () => origins.size,
  };
}

/** Short key of a call's id, as ids of callers have any length. */
function computeKey(call: string): string {
  return createHash("sha1").update(call).digest("base64url").slice(
    0,
    keyLength,
  );
}
