/**
 * Names of service-level counters. A summary holds its counters by
 * `group/model/name`; groups and models contain no slash.
 */
import { RefusalReason } from "../../types/index.ts";

/** Counters of one caller group and model. */
export enum BurnCounter {
  /** Complete answers within the caller's deadline. */
  Useful = "useful",
  /** Complete answers after the deadline. */
  Late = "late",
  /** Calls that were accepted and then not answered in full. */
  Failed = "failed",
  /** Calls of which the caller was told that they may have run. */
  Unknown = "unknown",
  /** Calls whose caller went away. */
  Abandoned = "abandoned",
  FirstTokenInTime = "first_token_in_time",
  FirstTokenLate = "first_token_late",
  TokensInTime = "tokens_in_time",
  TokensLate = "tokens_late",
}

/** What an objective is about. */
export enum BurnIndicator {
  Useful = "useful",
  FirstToken = "first_token",
  BetweenTokens = "between_tokens",
}

/** Prefix of counters of refusals, followed by the reason. */
export const refusedPrefix = "refused.";

/** Prefix of counters of calls that were not useful, followed by the caller. */
export const callerPrefix = "caller.";

/** Group or model of what belongs to none. */
export const otherName = "other";

/** Parts of a counter's key. */
export interface BurnKey {
  readonly group: string;
  readonly model: string;
  readonly name: string;
}

/** Formats the key of a counter. */
export function formatBurnKey(key: BurnKey): string {
  return `${key.group}/${key.model}/${key.name}`;
}

/** Parses the key of a counter; undefined when it has another form. */
export function parseBurnKey(text: string): BurnKey | undefined {
  const [group, model, ...rest] = text.split("/");
  if (!group || !model || rest.length === 0) return undefined;
  return { group, model, name: rest.join("/") };
}

/** Refusals whose cause lies with the caller; they use up no error budget. */
const callerFaults: ReadonlySet<RefusalReason> = new Set([
  RefusalReason.Malformed,
  RefusalReason.TooLarge,
  RefusalReason.Unauthorized,
  RefusalReason.Forbidden,
  RefusalReason.UnknownModel,
  RefusalReason.UnknownService,
  RefusalReason.KeyMissing,
  RefusalReason.KeyExpired,
  RefusalReason.KeyMismatch,
]);

/** Whether a refusal is the caller's own fault. */
export function isCallerFault(reason: RefusalReason): boolean {
  return callerFaults.has(reason);
}

const lossCounters: ReadonlySet<string> = new Set([
  BurnCounter.Late,
  BurnCounter.Failed,
  BurnCounter.Unknown,
]);

/** Whether a counter counts answers that were lost to their callers. */
export function isLossCounter(name: string): boolean {
  if (lossCounters.has(name)) return true;
  if (!name.startsWith(refusedPrefix)) return false;
  return !isCallerFault(name.slice(refusedPrefix.length) as RefusalReason);
}
