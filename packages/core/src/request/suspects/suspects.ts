/**
 * Requests that may crash the engines that run them. After a crash every
 * request that was in flight is suspect. A suspect runs again only as the one
 * suspect on its engine, so a second crash has one suspect and is proof.
 */
import type { EndpointName, InstanceName } from "../../types/index.ts";
import {
  addBounded,
  type CrashId,
  type KnownDigest,
  listOpenCrashes,
  mergeDigest,
  type SuspectEvidence,
  type Trial,
} from "./evidence.ts";

/** What may be done with a request. */
export enum SuspectVerdict {
  /** Nothing speaks against it. */
  Clear = "clear",
  /** It runs only with a trial opened by `openTrial`. */
  Alone = "alone",
  /** It has crashed engines and is refused. */
  Refused = "refused",
}

/** Suspicion as one instance knows it. */
export interface Suspects {
  /**
   * Records a crash. `startId` is that of the engine's crashed start, so that
   * all instances name the crash alike.
   */
  readonly noteCrash: (
    engine: EndpointName,
    digestsInFlight: readonly string[],
    options: { readonly startId: string },
  ) => void;
  /** Clears the suspicion against a request that completed. */
  readonly noteCompleted: (digest: string) => void;
  readonly judge: (digest: string) => SuspectVerdict;
  /** Opens the engine's one trial for the request; false while another holds it. */
  readonly openTrial: (digest: string, engine: EndpointName) => boolean;
  /**
   * Whether the trial still holds after evidence was exchanged. Of two
   * instances that opened one on an engine, or for a request, the first by
   * name keeps it.
   */
  readonly checkTrial: (digest: string) => boolean;
  readonly closeTrial: (digest: string) => void;
  readonly getEvidence: () => SuspectEvidence;
  readonly mergeEvidence: (evidence: SuspectEvidence) => void;
  /** Digests that are refused now. */
  readonly listRefused: () => readonly string[];
}

/** Options of the suspicion. */
export interface SuspectsOptions {
  readonly instance: InstanceName;
}

/** Crashes that refuse a request. */
const refusingCrashes = 2;
const maxDigests = 2_048;
/** Share that stays when the bound is reached. */
const keptShare = 0.9;
const maxInstances = 1_024;
const forgetMs = 24 * 3_600_000;

/** Creates the suspicion of one instance. */
export function createSuspects(options: SuspectsOptions): Suspects {
  const digests = new Map<string, KnownDigest>();
  const ownTrials = new Map<string, Trial>();
  const heardTrials = new Map<InstanceName, readonly Trial[]>();

  function getKnown(digest: string): KnownDigest {
    const known = digests.get(digest);
    if (known) return known;
    const created: KnownDigest = {
      crashes: new Set(),
      cleared: new Set(),
      updatedMs: Date.now(),
    };
    removeForgotten(digests);
    digests.set(digest, created);
    return created;
  }

  /** Crashes that a refused request explains, so that its neighbours are free of them. */
  function listExplained(): ReadonlySet<CrashId> {
    const explained = new Set<CrashId>();
    for (const known of digests.values()) {
      const open = listOpenCrashes(known);
      if (open.length < refusingCrashes) continue;
      for (const crash of open) explained.add(crash);
    }
    return explained;
  }

  function judge(digest: string): SuspectVerdict {
    const known = digests.get(digest);
    if (!known) return SuspectVerdict.Clear;
    const open = listOpenCrashes(known);
    if (open.length >= refusingCrashes) return SuspectVerdict.Refused;
    const explained = listExplained();
    const against = open.filter((crash) => !explained.has(crash));
    return against.length > 0 ? SuspectVerdict.Alone : SuspectVerdict.Clear;
  }

  function findRival(digest: string, engine: EndpointName): Trial | undefined {
    const heard = [...heardTrials.values()].flat();
    return heard.find((trial) =>
      trial.engine === engine || trial.digest === digest
    );
  }

  return {
    noteCrash(engine, digestsInFlight, { startId }): void {
      const crash = `${engine}/${startId}`;
      for (const digest of new Set(digestsInFlight)) {
        const known = getKnown(digest);
        addBounded(known.crashes, crash);
        known.updatedMs = Date.now();
        ownTrials.delete(digest);
      }
    },
    noteCompleted(digest): void {
      const known = digests.get(digest);
      if (!known) return;
      for (const crash of known.crashes) addBounded(known.cleared, crash);
      known.updatedMs = Date.now();
    },
    judge,
    openTrial(digest, engine): boolean {
      const own = [...ownTrials.values()];
      const held = own.some((trial) =>
        trial.engine === engine || trial.digest === digest
      );
      if (held || findRival(digest, engine)) return false;
      ownTrials.set(digest, { digest, engine, instance: options.instance });
      return true;
    },
    checkTrial(digest): boolean {
      const trial = ownTrials.get(digest);
      if (!trial) return false;
      const rival = findRival(digest, trial.engine);
      return !rival || trial.instance < rival.instance;
    },
    closeTrial(digest): void {
      ownTrials.delete(digest);
    },
    getEvidence: () => ({
      instance: options.instance,
      digests: [...digests].map(([digest, known]) => ({
        digest,
        crashes: [...known.crashes],
        cleared: [...known.cleared],
        updatedMs: known.updatedMs,
      })),
      trials: [...ownTrials.values()],
    }),
    mergeEvidence(evidence): void {
      for (const heard of evidence.digests) {
        mergeDigest(getKnown(heard.digest), heard);
      }
      heardTrials.delete(evidence.instance);
      if (evidence.trials.length > 0) {
        heardTrials.set(evidence.instance, evidence.trials);
      }
      removeOldest(heardTrials, maxInstances);
    },
    listRefused: () =>
      [...digests.keys()].filter((digest) =>
        judge(digest) === SuspectVerdict.Refused
      ),
  };
}

/** Forgets old evidence, and the oldest beyond the bound, harmless ones first. */
function removeForgotten(digests: Map<string, KnownDigest>): void {
  if (digests.size < maxDigests) return;
  const oldestFirst = [...digests].sort(([, left], [, right]) =>
    listOpenCrashes(left).length - listOpenCrashes(right).length ||
    left.updatedMs - right.updatedMs
  );
  const edgeMs = Date.now() - forgetMs;
  const kept = maxDigests * keptShare;
  for (const [digest, known] of oldestFirst) {
    const old = known.updatedMs < edgeMs;
    if (!old && digests.size <= kept) return;
    digests.delete(digest);
  }
}

function removeOldest<K, V>(map: Map<K, V>, limit: number): void {
  for (const key of map.keys()) {
    if (map.size <= limit) return;
    map.delete(key);
  }
}
