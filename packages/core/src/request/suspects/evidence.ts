/** Evidence of crashes, which instances exchange and may merge in any order. */
import type { EndpointName, InstanceName } from "../../types/index.ts";

/** Identifies one crash of one engine; equal on all instances that observed it. */
export type CrashId = string;

/** Crash evidence about one request digest. */
export interface DigestEvidence {
  readonly digest: string;
  /** Crashes during which the request was in flight. */
  readonly crashes: readonly CrashId[];
  /** Crashes after which the request completed on some engine, and which no longer count against it. */
  readonly cleared: readonly CrashId[];
  /** Time of the last change, in ms since the epoch; used only to expire old evidence. */
  readonly updatedMs: number;
}

/** A running execution of a suspect request, the only suspect on its engine. */
export interface Trial {
  readonly digest: string;
  readonly engine: EndpointName;
  readonly instance: InstanceName;
}

/** Evidence that one instance sends to the others. */
export interface SuspectEvidence {
  readonly instance: InstanceName;
  readonly digests: readonly DigestEvidence[];
  /** Trials of this instance only. */
  readonly trials: readonly Trial[];
}

/** Mutable form of `DigestEvidence`, as stored by one instance. */
export interface DigestRecord {
  readonly crashes: Set<CrashId>;
  readonly cleared: Set<CrashId>;
  updatedMs: number;
}

/** Maximum number of crashes stored per digest; more would not change the verdict. */
export const maxCrashesPerDigest = 8;

/** Merges received evidence into the record; returns whether it added a crash or clearance. */
export function mergeDigest(
  record: DigestRecord,
  received: DigestEvidence,
): boolean {
  const before = record.crashes.size + record.cleared.size;
  for (const crash of received.crashes) addBounded(record.crashes, crash);
  for (const crash of received.cleared) addBounded(record.cleared, crash);
  record.updatedMs = Math.max(record.updatedMs, received.updatedMs);
  return record.crashes.size + record.cleared.size > before;
}

/** Crashes that the request has not been cleared of. */
export function listUnclearedCrashes(record: DigestRecord): readonly CrashId[] {
  return [...record.crashes].filter((crash) => !record.cleared.has(crash));
}

/** Adds the crash unless the set already holds `maxCrashesPerDigest`. */
export function addBounded(crashes: Set<CrashId>, crash: CrashId): void {
  if (crashes.size < maxCrashesPerDigest) crashes.add(crash);
}
