/** Evidence that calls with one trait crash endpoints, as instances exchange and store it. */
import type { EndpointName } from "../../types/index.ts";

/** Something that calls can have in common: a part of their prompts, or the whole request. */
export type Trait = string;

/** Identifies one process of an endpoint; a crash ends it, so it identifies the crash as well. */
export type ProcessId = string;

/** Crash of one process of an endpoint. */
export interface CrashReport {
  readonly endpoint: EndpointName;
  /** Start of the process that crashed, in ms since the epoch. */
  readonly startedAtMs: number;
  /** Time since the crash, in ms. */
  readonly ageMs: number;
  /** Traits of calls that were in flight at the process, as far as the sender knows them. */
  readonly traits: readonly Trait[];
  /** Whether the sender refuses calls with these traits; absent if it does not. */
  readonly refused?: boolean;
}

/** A call that completed, which shows that its trait does not crash endpoints. */
export interface TraitSuccess {
  readonly trait: Trait;
  /** Time since the call completed, in ms. */
  readonly ageMs: number;
}

/** Crashes and successes that one instance passes on. */
export interface CrashReports {
  readonly crashes: readonly CrashReport[];
  readonly successes: readonly TraitSuccess[];
}

/** Crash evidence as one instance stores it, with times that outlast its process. */
export interface StoredCrashes {
  /** When it was stored, in ms since the epoch. */
  readonly storedAtMs: number;
  /** Ages as of `storedAtMs`. */
  readonly crashes: readonly CrashReport[];
}

/** Why calls with a trait are refused. */
export interface TraitVerdict {
  readonly trait: Trait;
  /** Processes that crashed under calls with the trait, oldest first. */
  readonly crashes: readonly ProcessId[];
  readonly firstCrashMs: number;
  /** On the clock of `performance.now()`, like `firstCrashMs`. */
  readonly lastCrashMs: number;
  /** Traits that were in flight at exactly the same crashes, this one included: one of them is the cause. */
  readonly tied: ReadonlySet<Trait>;
}

/** Returns the id of one process of an endpoint, for example `i-7f3a/1768032527419`. */
export function getProcessId(
  process: {
    readonly endpoint: EndpointName;
    readonly startedAtMs?: number;
  },
): ProcessId {
  return `${process.endpoint}/${process.startedAtMs ?? 0}`;
}
