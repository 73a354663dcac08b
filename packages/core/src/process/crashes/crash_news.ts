/** Crash evidence that the digests of one instance pass on: each piece a few times, as some digests get lost. */
import type { CrashEvidence } from "./crash_evidence.ts";
import {
  type CrashReport,
  type CrashReports,
  getProcessId,
  type ProcessId,
  type Trait,
  type TraitSuccess,
} from "./crash_types.ts";

/** News of one instance for its peers. */
export interface CrashNews {
  /** Adds a crash that this instance found, with the traits of its own calls. */
  readonly addOwn: (crash: CrashReport) => void;
  /** Adds a success that cleared a trait, here or at a peer that has not heard of it. */
  readonly addSuccess: (trait: Trait) => void;
  /** Whether calls of this instance with the trait were in flight at a crash. */
  readonly hasOwn: (trait: Trait) => boolean;
  /** What the next digest reports; undefined if it need not report anything. */
  readonly collect: () => CrashReports | undefined;
}

/** Number of digests that report a piece of news. */
const repeats = 3;
/** Pause between two digests that report news, in ms: beyond the delays of digests that get lost together. */
const repeatIntervalMs = 300;
/** Interval at which all evidence of verdicts is reported, in ms, for instances that missed the news. */
const verdictReportIntervalMs = 5_000;
/** Crashes of each verdict in these reports; more would not change it. */
const maxCrashesPerVerdict = 6;
const maxCrashesPerDigest = 8;
const maxSuccessesPerDigest = 64;
const maxOwnCrashes = 64;
/** Traits of one crash that a digest reports, so that it fits a datagram. */
const maxTraitsPerReport = 128;

interface OwnCrash {
  readonly endpoint: string;
  readonly startedAtMs: number;
  readonly atMs: number;
  readonly traits: Set<Trait>;
  repeatsLeft: number;
}

/** Creates an instance's news, initially none. */
export function createCrashNews(evidence: CrashEvidence): CrashNews {
  const own = new Map<ProcessId, OwnCrash>();
  const successes = new Map<Trait, number>();
  let collectedMs = -Infinity;
  let verdictsMs = -Infinity;

  function collectCrashes(): readonly CrashReport[] {
    const nowMs = performance.now();
    const reported = [...own.values()]
      .filter(({ repeatsLeft }) => repeatsLeft > 0)
      .slice(0, maxCrashesPerDigest);
    return reported.map((crash) => {
      crash.repeatsLeft -= 1;
      return {
        endpoint: crash.endpoint,
        startedAtMs: crash.startedAtMs,
        ageMs: Math.round(nowMs - crash.atMs),
        traits: pickReported(crash.traits, evidence),
      };
    });
  }

  function collectSuccesses(
    crashes: readonly CrashReport[],
  ): readonly TraitSuccess[] {
    const cleared = [...successes.keys()].slice(0, maxSuccessesPerDigest);
    for (const trait of cleared) {
      const left = (successes.get(trait) ?? 0) - 1;
      if (left > 0) successes.set(trait, left);
      else successes.delete(trait);
    }
    // Peers need to know which of the reported traits have succeeded before.
    const traits = new Set([
      ...cleared,
      ...crashes.flatMap((crash) => crash.traits),
    ]);
    return evidence.listSuccesses(traits);
  }

  function collectVerdicts(): readonly CrashReport[] {
    const verdicts = evidence.listVerdicts();
    const nowMs = performance.now();
    const due = nowMs - verdictsMs >= verdictReportIntervalMs;
    if (verdicts.length === 0 || !due) return [];
    verdictsMs = nowMs;
    const refused = new Set(verdicts.map(({ trait }) => trait));
    return evidence.listCrashes((trait) => refused.has(trait), {
      most: maxCrashesPerVerdict * verdicts.length,
    }).slice(0, maxOwnCrashes).map((crash) => ({ ...crash, refused: true }));
  }

  return {
    addOwn(crash): void {
      const id = getProcessId(crash);
      const known = own.get(id);
      const traits = new Set([...known?.traits ?? [], ...crash.traits]);
      own.delete(id);
      own.set(id, {
        endpoint: crash.endpoint,
        startedAtMs: crash.startedAtMs,
        atMs: known?.atMs ?? performance.now() - crash.ageMs,
        traits,
        repeatsLeft: repeats,
      });
      const [oldest] = own.keys();
      if (own.size > maxOwnCrashes && oldest !== undefined) own.delete(oldest);
    },
    addSuccess: (trait) => void successes.set(trait, repeats),
    hasOwn: (trait) =>
      [...own.values()].some(({ traits }) => traits.has(trait)),
    collect(): CrashReports | undefined {
      const nowMs = performance.now();
      if (nowMs - collectedMs < repeatIntervalMs) return undefined;
      const ownCrashes = collectCrashes();
      const reported = [...ownCrashes, ...collectVerdicts()];
      const cleared = collectSuccesses(ownCrashes);
      if (reported.length + cleared.length === 0) return undefined;
      collectedMs = nowMs;
      return { crashes: reported, successes: cleared };
    },
  };
}

/** Where there are too many traits, those that were in flight at most crashes come first. */
function pickReported(
  traits: ReadonlySet<Trait>,
  evidence: CrashEvidence,
): readonly Trait[] {
  if (traits.size <= maxTraitsPerReport) return [...traits];
  return [...traits]
    .toSorted((left, right) =>
      evidence.countCrashes(right) - evidence.countCrashes(left)
    )
    .slice(0, maxTraitsPerReport);
}
