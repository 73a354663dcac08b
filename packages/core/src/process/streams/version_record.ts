/**
 * Keeps in the store which software versions of each service have had endpoints
 * lately, so that instances that have started just now know of versions that
 * have left since. Versions are added when they are listed, or at once when a
 * stream begins at them, also if they have left before they were added. One is
 * removed by an instance that has not seen it listed for the retention, on condition that
 * nothing was written since that instance's last read; a version that is listed
 * again is written again, which defeats a removal under way. No clock of another
 * process takes part.
 */
import { type LogEvent, runWithTimeout, waitFor } from "../../shared/index.ts";
import type {
  ListedEndpoint,
  ServiceName,
  WritableTopic,
} from "../../types/index.ts";
import { streamEvents } from "./events.ts";

/** Value of a record: one version of one service. */
export interface RecordedVersion {
  readonly service: ServiceName;
  /** "" for endpoints that state none. */
  readonly version: string;
}

/** The stored versions, as far as one instance has read them. */
export interface VersionRecord {
  /** Versions of a service; undefined before the first read. A version that this instance has not seen listed for the retention is left out. */
  readonly list: (service: ServiceName) => readonly string[] | undefined;
  /** Adds a version that begins a stream, unless it is stored. */
  readonly addBegun: (version: RecordedVersion) => void;
  /** Reads and writes the record again, as the store may have lost it. */
  readonly markRestored: () => void;
}

/** Dependencies of the record. */
export interface VersionRecordOptions {
  readonly topic: WritableTopic<RecordedVersion>;
  readonly listEndpoints: () => readonly ListedEndpoint[];
  /** Age of the list of endpoints, in ms. */
  readonly getListAgeMs: () => number;
  /** Whether this instance writes; several may at a time. */
  readonly isWriter: () => boolean;
  /** Time after which a version that is not listed is removed, in ms. */
  readonly retentionMs: number;
  readonly random: () => number;
  readonly logEvent: LogEvent;
  readonly signal: AbortSignal;
}

/** Pause between two looks at the list, in ms. */
const intervalMs = 400;
/** Range of the delay of an instance's first write, in ms, so that of instances that start together few write. */
const firstWriteSpreadMs = 800;
/** Range of the delay of a write for a stream, in ms, for the same reason. */
const begunSpreadMs = 50;
const timeoutMs = 1_500;
const maxRetryMs = 3_000;
/** Time after which a version that is listed again is written again, in ms; far below the retention of any instance. */
const returnedAfterMs = 10_000;
/** Age of the list above which nothing is removed, in ms. */
const maxListAgeMs = 2_000;

/** A version in the record. */
interface StoredVersion extends RecordedVersion {
  readonly offset: number;
  /** Since when this instance does not see it listed, in ms; Infinity while it is listed. */
  unlistedMs: number;
}

/** A version that is not known to be stored, or was listed again. */
interface MissingVersion extends RecordedVersion {
  /** When it was last listed or began a stream, in ms. */
  readonly lastMs: number;
  /** Whether it has begun a stream, so that its write cannot wait. */
  readonly begun: boolean;
}

/** Starts to read and keep the record, until `signal` aborts. */
export function keepVersionRecord(
  options: VersionRecordOptions,
): VersionRecord {
  const { topic, signal, logEvent, retentionMs } = options;
  /** By key of the record; undefined before the first read. */
  let stored: Map<string, StoredVersion> | undefined;
  /** By key of the record; those that have left stay for the retention. */
  const missing = new Map<string, MissingVersion>();
  let wake = new AbortController();
  signal.addEventListener("abort", () => wake.abort(), { once: true });
  /** Whether the store may have lost records since the last read began. */
  let lost = false;
  let next = 0;
  let failures = 0;
  const firstWriteMs = performance.now() +
    options.random() * firstWriteSpreadMs;

  async function read(): Promise<Map<string, StoredVersion>> {
    lost = false;
    const page = await runWithTimeout(topic.fetchNewest, {
      timeoutMs,
      signal,
    });
    const nowMs = performance.now();
    const former = stored;
    next = page.next;
    stored = new Map(page.records.flatMap(({ key, value, offset }) => {
      if (!value) return [];
      const known = former?.get(key);
      // A version that was written again has been listed at another instance.
      const unlistedMs = known?.offset === offset ? known.unlistedMs : nowMs;
      return [[key, { ...value, offset, unlistedMs }]];
    }));
    return stored;
  }

  /** Updates which versions are listed, and which are to be written: not in the record, or listed again after some time. */
  function updateListed(known: ReadonlyMap<string, StoredVersion>): void {
    const nowMs = performance.now();
    const listed = listVersions(options.listEndpoints());
    for (const [key, entry] of known) {
      if (!listed.has(key)) {
        entry.unlistedMs = Math.min(entry.unlistedMs, nowMs);
      } else if (nowMs - entry.unlistedMs < returnedAfterMs) {
        entry.unlistedMs = Infinity;
        listed.delete(key);
      } else if (entry.unlistedMs === Infinity) {
        listed.delete(key);
      }
    }
    for (const [key, version] of listed) {
      const begun = missing.get(key)?.begun ?? false;
      missing.set(key, { ...version, lastMs: nowMs, begun });
    }
    for (const [key, { lastMs }] of missing) {
      const isStored = known.has(key) && !listed.has(key);
      if (isStored || nowMs - lastMs >= retentionMs) missing.delete(key);
    }
  }

  /** Keeps versions that the store has lost and that are not listed any more. */
  function keepLost(
    former: ReadonlyMap<string, StoredVersion>,
    known: ReadonlyMap<string, StoredVersion>,
  ): void {
    const nowMs = performance.now();
    for (const [key, { service, version, unlistedMs }] of former) {
      if (known.has(key)) continue;
      const lastMs = Math.min(unlistedMs, nowMs);
      missing.set(key, { service, version, lastMs, begun: false });
    }
  }

  async function addMissing(): Promise<void> {
    const former = stored;
    const known = lost || !stored ? await read() : stored;
    if (former && former !== known) keepLost(former, known);
    updateListed(known);
    const due = [...missing].filter(([, { begun }]) => begun || mayWrite());
    if (due.length === 0) return;
    // Another instance may have written a new version meanwhile.
    const current = await read();
    for (const [key, { service, version }] of due) {
      const isWritten = current.has(key) && !known.has(key);
      if (!isWritten) {
        const value = { service, version };
        const offset = await topic.append({ key, value }, { signal });
        if (offset === undefined) continue;
        current.set(key, { ...value, offset, unlistedMs: Infinity });
        logEvent(streamEvents.versionStored, value);
      }
      missing.delete(key);
    }
  }

  /** Removes versions that have not been listed for the retention. */
  async function removeUnlisted(): Promise<void> {
    if (!mayWrite() || options.getListAgeMs() > maxListAgeMs) return;
    const isOld = ({ unlistedMs }: StoredVersion): boolean =>
      performance.now() - unlistedMs >= retentionMs;
    if (![...stored?.values() ?? []].some(isOld)) return;
    for (const [key, entry] of await read()) {
      if (!isOld(entry)) continue;
      const { service, version } = entry;
      const offset = await topic.append(
        { key, value: undefined },
        { ifEnd: next, signal },
      );
      if (offset === undefined) return;
      next = offset + 1;
      stored?.delete(key);
      logEvent(streamEvents.versionRemoved, { service, version });
    }
  }

  function mayWrite(): boolean {
    return options.isWriter() && performance.now() >= firstWriteMs;
  }

  async function run(): Promise<void> {
    while (!signal.aborted) {
      wake = new AbortController();
      try {
        await addMissing();
        await removeUnlisted();
        failures = 0;
      } catch (error) {
        if (signal.aborted) return;
        if (failures === 0) {
          logEvent(streamEvents.versionsNotKept, { error: String(error) });
        }
        failures += 1;
      }
      const pauseMs = intervalMs * (0.5 + options.random()) * 2 ** failures;
      await waitFor(Math.min(pauseMs, maxRetryMs), wake.signal);
    }
  }

  void run();
  return {
    list(service): readonly string[] | undefined {
      if (!stored || lost) return undefined;
      const oldestMs = performance.now() - retentionMs;
      return [...stored.values()]
        .filter((each) =>
          each.service === service &&
          each.unlistedMs >= oldestMs
        )
        .map(({ version }) => version);
    },
    addBegun({ service, version }): void {
      const key = buildKey(service, version);
      const known = missing.get(key);
      if (known?.begun || (!known && !lost && stored?.has(key))) return;
      const lastMs = performance.now();
      missing.set(key, { service, version, lastMs, begun: true });
      void waitFor(options.random() * begunSpreadMs, signal)
        .then(() => wake.abort());
    },
    markRestored(): void {
      lost = true;
    },
  };
}

function listVersions(
  endpoints: readonly ListedEndpoint[],
): Map<string, RecordedVersion> {
  const services = new Map<ServiceName, Set<string>>();
  for (const { service, softwareVersion = "" } of endpoints) {
    const known = services.get(service);
    if (known) known.add(softwareVersion);
    else services.set(service, new Set([softwareVersion]));
  }
  const versions = new Map<string, RecordedVersion>();
  for (const [service, each] of services) {
    for (const version of each) {
      versions.set(buildKey(service, version), { service, version });
    }
  }
  return versions;
}

function buildKey(service: ServiceName, version: string): string {
  return JSON.stringify([service, version]);
}
