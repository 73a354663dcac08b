/** Evidence of crashes, in a form that instances exchange and merge in any order. */
import type { EndpointName, InstanceName } from "../../types/index.ts";

/** Identifies one crash of one engine, the same on every instance that saw it. */
export type CrashId = string;

/** What is known of one request digest. */
export interface DigestEvidence {
  readonly digest: string;
  /** Crashes that the request was in flight at. */
  readonly crashes: readonly CrashId[];
  /** Crashes after which the request has completed. */
  readonly cleared: readonly CrashId[];
  /** Time of the newest change, in ms since the epoch; only for forgetting. */
  readonly updatedMs: number;
}

/** A rerun of a suspect request that is open on an engine. */
export interface Trial {
  readonly digest: string;
  readonly engine: EndpointName;
  readonly instance: InstanceName;
}

/** All that one instance passes on. */
export interface SuspectEvidence {
  readonly instance: InstanceName;
  readonly digests: readonly DigestEvidence[];
  /** Trials of this instance only. */
  readonly trials: readonly Trial[];
}

/** Evidence as it is kept. */
export interface KnownDigest {
  readonly crashes: Set<CrashId>;
  readonly cleared: Set<CrashId>;
  updatedMs: number;
}

/** Most crashes kept for one digest; more change no verdict. */
export const maxCrashesPerDigest = 8;

/** Adds what is new; returns whether anything was. */
export function mergeDigest(
  known: KnownDigest,
  heard: DigestEvidence,
): boolean {
  const before = known.crashes.size + known.cleared.size;
  for (const crash of heard.crashes) addBounded(known.crashes, crash);
  for (const crash of heard.cleared) addBounded(known.cleared, crash);
  known.updatedMs = Math.max(known.updatedMs, heard.updatedMs);
  return known.crashes.size + known.cleared.size > before;
}

/** Crashes that still speak against a request. */
export function listOpenCrashes(known: KnownDigest): readonly CrashId[] {
  return [...known.crashes].filter((crash) => !known.cleared.has(crash));
}

/** Adds to a bounded set. */
export function addBounded(crashes: Set<CrashId>, crash: CrashId): void {
  if (crashes.size < maxCrashesPerDigest) crashes.add(crash);
}
