/**
 * Detects requests that crash engines. After a crash, every request that was in
 * flight on the engine is a suspect. At most one suspect at a time runs on an
 * engine, so that a second crash identifies the request that caused it.
 */
import type { EndpointName, InstanceName } from "../../types/index.ts";
import {
  addBounded,
  type CrashId,
  type DigestRecord,
  listUnclearedCrashes,
  mergeDigest,
  type SuspectEvidence,
  type Trial,
} from "./evidence.ts";

/** How a request may be run. */
export enum SuspectVerdict {
  /** It may run on any engine without restrictions. */
  Clear = "clear",
  /** It is a suspect and may run only in a trial opened by `openTrial`. */
  Isolated = "alone",
  /** It was in flight at two or more crashes that it was not cleared of, and is refused. */
  Refused = "refused",
}

/** One instance's record of suspect requests. */
export interface Suspects {
  /**
   * Records a crash and ends the trials of the requests in flight. `startId` is
   * the engine's start that crashed; it gives the crash the same id on all
   * instances.
   */
  readonly recordCrash: (
    engine: EndpointName,
    digestsInFlight: readonly string[],
    options: { readonly startId: string },
  ) => void;
  /** Clears a completed request of the crashes recorded for it. */
  readonly recordSuccess: (digest: string) => void;
  /** Returns how the request may be run by the evidence so far. */
  readonly getVerdict: (digest: string) => SuspectVerdict;
  /** Opens a trial; false while another trial is open on the engine or for the request. */
  readonly openTrial: (digest: string, engine: EndpointName) => boolean;
  /**
   * Whether the own trial is still valid after an exchange of evidence. If two
   * instances have opened trials on the same engine or for the same request,
   * the one of the instance that is first by name is valid.
   */
  readonly checkTrial: (digest: string) => boolean;
  /** Ends the own trial of the request, if there is one. */
  readonly closeTrial: (digest: string) => void;
  /** Returns all evidence and the own trials, to be sent to other instances. */
  readonly getEvidence: () => SuspectEvidence;
  /** Merges evidence of another instance and replaces its open trials. */
  readonly mergeEvidence: (evidence: SuspectEvidence) => void;
  /** Digests whose verdict is `Refused`. */
  readonly listRefused: () => readonly string[];
}

/** Options of `createSuspects`. */
export interface SuspectsOptions {
  /** Name of this instance, which decides conflicts between trials. */
  readonly instance: InstanceName;
}

/** Uncleared crashes from which on a request is refused. */
const crashesToRefuse = 2;
const maxDigests = 2_048;
/** Fraction of `maxDigests` that remains after pruning. */
const retainedFraction = 0.9;
/** Instances whose open trials are stored. */
const maxInstances = 1_024;
/** Age after which evidence expires. */
const retentionMs = 24 * 3_600_000;

/** Creates the record of one instance, without suspects. */
export function createSuspects(options: SuspectsOptions): Suspects {
  const digests = new Map<string, DigestRecord>();
  const ownTrials = new Map<string, Trial>();
  const peerTrials = new Map<InstanceName, readonly Trial[]>();

  function getRecord(digest: string): DigestRecord {
    const record = digests.get(digest);
    if (record) return record;
    const created: DigestRecord = {
      crashes: new Set(),
      cleared: new Set(),
      updatedMs: Date.now(),
    };
    pruneDigests(digests);
    digests.set(digest, created);
    return created;
  }

  /** Crashes attributed to refused requests; they do not count against other requests that were in flight. */
  function listAttributedCrashes(): ReadonlySet<CrashId> {
    const attributed = new Set<CrashId>();
    for (const record of digests.values()) {
      const open = listUnclearedCrashes(record);
      if (open.length < crashesToRefuse) continue;
      for (const crash of open) attributed.add(crash);
    }
    return attributed;
  }

  function getVerdict(digest: string): SuspectVerdict {
    const record = digests.get(digest);
    if (!record) return SuspectVerdict.Clear;
    const open = listUnclearedCrashes(record);
    if (open.length >= crashesToRefuse) return SuspectVerdict.Refused;
    const attributed = listAttributedCrashes();
    const unattributed = open.filter((crash) => !attributed.has(crash));
    return unattributed.length > 0
      ? SuspectVerdict.Isolated
      : SuspectVerdict.Clear;
  }

  function findConflictingTrial(
    digest: string,
    engine: EndpointName,
  ): Trial | undefined {
    const trials = [...peerTrials.values()].flat();
    return trials.find((trial) =>
      trial.engine === engine || trial.digest === digest
    );
  }

  return {
    recordCrash(engine, digestsInFlight, { startId }): void {
      const crash = `${engine}/${startId}`;
      for (const digest of new Set(digestsInFlight)) {
        const record = getRecord(digest);
        addBounded(record.crashes, crash);
        record.updatedMs = Date.now();
        ownTrials.delete(digest);
      }
    },
    recordSuccess(digest): void {
      const record = digests.get(digest);
      if (!record) return;
      for (const crash of record.crashes) addBounded(record.cleared, crash);
      record.updatedMs = Date.now();
    },
    getVerdict,
    openTrial(digest, engine): boolean {
      const own = [...ownTrials.values()];
      const held = own.some((trial) =>
        trial.engine === engine || trial.digest === digest
      );
      if (held || findConflictingTrial(digest, engine)) return false;
      ownTrials.set(digest, { digest, engine, instance: options.instance });
      return true;
    },
    checkTrial(digest): boolean {
      const trial = ownTrials.get(digest);
      if (!trial) return false;
      const conflicting = findConflictingTrial(digest, trial.engine);
      return !conflicting || trial.instance < conflicting.instance;
    },
    closeTrial(digest): void {
      ownTrials.delete(digest);
    },
    getEvidence: () => ({
      instance: options.instance,
      digests: [...digests].map(([digest, record]) => ({
        digest,
        crashes: [...record.crashes],
        cleared: [...record.cleared],
        updatedMs: record.updatedMs,
      })),
      trials: [...ownTrials.values()],
    }),
    mergeEvidence(evidence): void {
      for (const received of evidence.digests) {
        mergeDigest(getRecord(received.digest), received);
      }
      peerTrials.delete(evidence.instance);
      if (evidence.trials.length > 0) {
        peerTrials.set(evidence.instance, evidence.trials);
      }
      removeOldest(peerTrials, maxInstances);
    },
    listRefused: () =>
      [...digests.keys()].filter((digest) =>
        getVerdict(digest) === SuspectVerdict.Refused
      ),
  };
}

/**
 * At `maxDigests`, removes the digests with the fewest uncleared crashes, oldest
 * first, until the retained fraction is left and the next one has not expired.
 */
function pruneDigests(digests: Map<string, DigestRecord>): void {
  if (digests.size < maxDigests) return;
  const oldestFirst = [...digests].sort(([, left], [, right]) =>
    listUnclearedCrashes(left).length - listUnclearedCrashes(right).length ||
    left.updatedMs - right.updatedMs
  );
  const cutoffMs = Date.now() - retentionMs;
  const retained = maxDigests * retainedFraction;
  for (const [digest, record] of oldestFirst) {
    const expired = record.updatedMs < cutoffMs;
    if (!expired && digests.size <= retained) return;
    digests.delete(digest);
  }
}

function removeOldest<K, V>(map: Map<K, V>, limit: number): void {
  for (const key of map.keys()) {
    if (map.size <= limit) return;
    map.delete(key);
  }
}
