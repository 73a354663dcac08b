/**
 * Crashes of endpoints with the traits of the calls in flight, merged from all
 * instances, and the verdicts that follow. A verdict depends on the evidence
 * only, so instances with the same evidence refuse the same calls.
 *
 * A trait is refused if it was in flight at several crashes and no call with it
 * has completed since. Traits in flight at most crashes come first; the
 * crashes that they explain do not count against other traits, whose calls were
 * at the same endpoints by chance.
 */
import {
  type CrashReport,
  getProcessId,
  type ProcessId,
  type Trait,
  type TraitSuccess,
  type TraitVerdict,
} from "./crash_types.ts";

/** Merged evidence and its verdicts. */
export interface CrashEvidence {
  /** Adds a crash or further traits of a known one; false if nothing is new. */
  readonly addCrash: (crash: CrashReport) => boolean;
  /** Records that a call with the trait completed `ageMs` ago; true if crashes counted against the trait until now. */
  readonly addSuccess: (trait: Trait, ageMs?: number) => boolean;
  /** The last success of each of the traits for which one is known. */
  readonly listSuccesses: (traits: Iterable<Trait>) => readonly TraitSuccess[];
  /** Crashes that count against the trait, since its last success. */
  readonly countCrashes: (trait: Trait) => number;
  readonly hasVerdicts: () => boolean;
  readonly getVerdict: (trait: Trait) => TraitVerdict | undefined;
  readonly listVerdicts: () => readonly TraitVerdict[];
  /** Whether any crash counts against any trait. */
  readonly hasSuspects: () => boolean;
  /** Of the traits of a known crash, those of which calls have completed since. */
  readonly listCleared: (crash: CrashReport) => readonly Trait[];
  /** Traits that were in flight at the known crashes, whether or not they count. */
  readonly listCrashTraits: () => ReadonlySet<Trait>;
  /** The newest crashes, with the traits that `isIncluded` accepts. */
  readonly listCrashes: (
    isIncluded: (trait: Trait) => boolean,
    options?: { readonly most?: number },
  ) => readonly CrashReport[];
}

/** Called with the verdicts that came into force and those that ended. */
export type OnVerdicts = (
  change: {
    readonly begun: readonly TraitVerdict[];
    readonly ended: readonly TraitVerdict[];
  },
) => void;

/** Crashes without a success in between after which a trait is refused. */
const crashesToRefuse = 3;
/** The same for a trait of which calls have completed before. */
const crashesToRefuseProven = 5;
/** Time after the last crash for which a trait is refused, in ms. */
export const verdictMs = 600_000;
/** Time for which a crash counts, in ms: longer than a verdict, so that one more crash renews an ended one. */
const crashRetentionMs = 3 * verdictMs;
const maxCrashes = 64;
/** Traits of one crash, of all instances. */
const maxTraitsPerCrash = 256;
/** Traits whose last success is remembered. */
const maxSuccesses = 8_192;

interface Crash {
  readonly id: ProcessId;
  readonly endpoint: string;
  readonly startedAtMs: number;
  /** On the clock of `performance.now()`. */
  readonly atMs: number;
  readonly traits: Set<Trait>;
}

/** Creates evidence without crashes. */
export function createCrashEvidence(
  options: {
    readonly onVerdicts?: OnVerdicts;
    /** Called after each change of the counted crashes. */
    readonly onChange?: () => void;
  } = {},
): CrashEvidence {
  const crashes = new Map<ProcessId, Crash>();
  /** When calls with a trait last completed, least recent first. */
  const successes = new Map<Trait, number>();
  /** Counted crashes by trait. */
  let counted = new Map<Trait, Set<ProcessId>>();
  let verdicts = new Map<Trait, TraitVerdict>();
  let changed = false;

  /** Marks counts and verdicts as outdated; they are computed once for all changes before the next question. */
  function markChanged(): void {
    changed = true;
    options.onChange?.();
  }

  function update(): void {
    if (!changed) return;
    changed = false;
    expireCrashes(crashes);
    counted = countByTrait(crashes, successes);
    const next = judgeTraits(crashes, {
      counted,
      getThreshold: (trait) =>
        successes.has(trait) ? crashesToRefuseProven : crashesToRefuse,
    });
    const former = verdicts;
    verdicts = next;
    const begun = [...next.values()].filter(({ trait }) => !former.has(trait));
    const ended = [...former.values()].filter(({ trait }) => !next.has(trait));
    if (begun.length + ended.length > 0) options.onVerdicts?.({ begun, ended });
  }

  /** Where there are too many traits, those of earlier crashes come first. */
  function pickTraits(traits: readonly Trait[]): readonly Trait[] {
    if (traits.length <= maxTraitsPerCrash) return traits;
    const isKnown = (trait: Trait): boolean => counted.has(trait);
    return [...traits.filter(isKnown), ...traits];
  }

  /** Ends verdicts whose time is over. */
  function expireVerdicts(): void {
    update();
    const oldestMs = performance.now() - verdictMs;
    for (const { lastCrashMs } of verdicts.values()) {
      if (lastCrashMs >= oldestMs) continue;
      markChanged();
      return update();
    }
  }

  return {
    addCrash(report): boolean {
      if (report.ageMs > crashRetentionMs) return false;
      const id = getProcessId(report);
      const known = crashes.get(id);
      const crash = known ?? {
        id,
        endpoint: report.endpoint,
        startedAtMs: report.startedAtMs,
        atMs: performance.now() - report.ageMs,
        traits: new Set<Trait>(),
      };
      const before = crash.traits.size;
      for (const trait of pickTraits(report.traits)) {
        if (crash.traits.size >= maxTraitsPerCrash) break;
        crash.traits.add(trait);
      }
      if (known && crash.traits.size === before) return false;
      if (!known) {
        crashes.set(id, crash);
        evictCrashes(crashes, (trait) => verdicts.has(trait));
      }
      markChanged();
      return true;
    },
    addSuccess(trait, ageMs = 0): boolean {
      update();
      const atMs = performance.now() - ageMs;
      const knownMs = successes.get(trait) ?? -Infinity;
      if (atMs <= knownMs) return false;
      successes.delete(trait);
      successes.set(trait, atMs);
      for (const oldest of successes.keys()) {
        if (successes.size <= maxSuccesses) break;
        successes.delete(oldest);
      }
      const cleared = [...counted.get(trait) ?? []].some((id) =>
        (crashes.get(id)?.atMs ?? Infinity) <= atMs
      );
      if (cleared) markChanged();
      return cleared;
    },
    listSuccesses(traits): readonly TraitSuccess[] {
      const nowMs = performance.now();
      return [...traits].flatMap((trait) => {
        const atMs = successes.get(trait);
        return atMs === undefined
          ? []
          : [{ trait, ageMs: Math.round(nowMs - atMs) }];
      });
    },
    countCrashes(trait): number {
      update();
      return counted.get(trait)?.size ?? 0;
    },
    hasVerdicts(): boolean {
      update();
      return verdicts.size > 0;
    },
    getVerdict(trait): TraitVerdict | undefined {
      expireVerdicts();
      return verdicts.get(trait);
    },
    listVerdicts(): readonly TraitVerdict[] {
      expireVerdicts();
      return [...verdicts.values()];
    },
    hasSuspects(): boolean {
      update();
      return counted.size > 0;
    },
    listCleared(report): readonly Trait[] {
      const crashMs = crashes.get(getProcessId(report))?.atMs ?? Infinity;
      return report.traits.filter((trait) =>
        (successes.get(trait) ?? -Infinity) >= crashMs
      );
    },
    listCrashTraits: () =>
      new Set([...crashes.values()].flatMap(({ traits }) => [...traits])),
    listCrashes(
      isIncluded,
      { most = maxCrashes } = {},
    ): readonly CrashReport[] {
      const nowMs = performance.now();
      return [...crashes.values()]
        .toSorted((left, right) => right.atMs - left.atMs)
        .map(({ endpoint, startedAtMs, atMs, traits }) => ({
          endpoint,
          startedAtMs,
          ageMs: Math.round(nowMs - atMs),
          traits: [...traits].filter(isIncluded),
        }))
        .filter(({ traits }) => traits.length > 0)
        .slice(0, most);
    },
  };
}

function expireCrashes(crashes: Map<ProcessId, Crash>): void {
  const oldestMs = performance.now() - crashRetentionMs;
  for (const [id, { atMs }] of crashes) {
    if (atMs < oldestMs) crashes.delete(id);
  }
}

/** Above `maxCrashes`, removes the oldest crash, preferably one that no verdict is based on. */
function evictCrashes(
  crashes: Map<ProcessId, Crash>,
  isRefused: (trait: Trait) => boolean,
): void {
  if (crashes.size <= maxCrashes) return;
  const oldestFirst = [...crashes.values()].toSorted((left, right) =>
    left.atMs - right.atMs
  );
  const unneeded = oldestFirst.find(({ traits }) =>
    ![...traits].some(isRefused)
  );
  const evicted = unneeded ?? oldestFirst[0];
  if (evicted) crashes.delete(evicted.id);
}

/** Lists the crashes of each trait after its last success. */
function countByTrait(
  crashes: ReadonlyMap<ProcessId, Crash>,
  successes: ReadonlyMap<Trait, number>,
): Map<Trait, Set<ProcessId>> {
  const counted = new Map<Trait, Set<ProcessId>>();
  for (const { id, atMs, traits } of crashes.values()) {
    for (const trait of traits) {
      if (atMs <= (successes.get(trait) ?? -Infinity)) continue;
      const ids = counted.get(trait) ?? new Set();
      ids.add(id);
      counted.set(trait, ids);
    }
  }
  return counted;
}

function judgeTraits(
  crashes: ReadonlyMap<ProcessId, Crash>,
  options: {
    readonly counted: ReadonlyMap<Trait, ReadonlySet<ProcessId>>;
    readonly getThreshold: (trait: Trait) => number;
  },
): Map<Trait, TraitVerdict> {
  const sinceMs = performance.now() - verdictMs;
  const isRecent = (id: ProcessId): boolean =>
    (crashes.get(id)?.atMs ?? -Infinity) >= sinceMs;
  /** Crashes that no verdict explains yet, of traits that may still get one. */
  const open = new Map<Trait, Set<ProcessId>>();
  for (const [trait, ids] of options.counted) {
    if (ids.size >= crashesToRefuse) open.set(trait, new Set(ids));
  }
  const verdicts = new Map<Trait, TraitVerdict>();
  while (true) {
    const candidates = [...open].filter(([trait, ids]) =>
      ids.size >= options.getThreshold(trait) && [...ids].some(isRecent)
    );
    const most = Math.max(0, ...candidates.map(([, ids]) => ids.size));
    const [first] = candidates.filter(([, ids]) => ids.size === most);
    if (!first) return verdicts;
    const explained = first[1];
    const tied = new Set(
      candidates.filter(([, ids]) => isSameSet(ids, explained))
        .map(([trait]) => trait),
    );
    for (const trait of tied) {
      verdicts.set(trait, buildVerdict(trait, { crashes, explained, tied }));
      open.delete(trait);
    }
    for (const ids of open.values()) {
      for (const id of explained) ids.delete(id);
    }
  }
}

function isSameSet(
  left: ReadonlySet<ProcessId>,
  right: ReadonlySet<ProcessId>,
): boolean {
  return left.size === right.size && [...left].every((id) => right.has(id));
}

function buildVerdict(
  trait: Trait,
  { crashes, explained, tied }: {
    readonly crashes: ReadonlyMap<ProcessId, Crash>;
    readonly explained: ReadonlySet<ProcessId>;
    readonly tied: ReadonlySet<Trait>;
  },
): TraitVerdict {
  const ordered = [...explained]
    .flatMap((id) => crashes.get(id) ?? [])
    .toSorted((left, right) => left.atMs - right.atMs);
  return {
    trait,
    crashes: ordered.map(({ id }) => id),
    firstCrashMs: ordered[0]?.atMs ?? Infinity,
    lastCrashMs: ordered.at(-1)?.atMs ?? -Infinity,
    tied,
  };
}
