/**
 * Names of service-level counters. The keys of a summary's counters have the
 * form `group/model/name`; groups and models contain no slash.
 */
import { RefusalReason } from "../../types/index.ts";

/** Names of the counters of each caller group and model. */
export enum BurnCounter {
  /** Complete answers within the caller's deadline. */
  Useful = "useful",
  /** Complete answers after the deadline. */
  Late = "late",
  /** Accepted calls without a complete answer. */
  Failed = "failed",
  /** Calls answered with an unknown outcome: they may have run. */
  Unknown = "unknown",
  /** Calls whose caller disconnected before the answer was complete. */
  Abandoned = "abandoned",
  FirstTokenInTime = "first_token_in_time",
  FirstTokenLate = "first_token_late",
  TokensInTime = "tokens_in_time",
  TokensLate = "tokens_late",
}

/** Service-level indicators: what the target of an objective measures. */
export enum BurnIndicator {
  Useful = "useful",
  FirstToken = "first_token",
  BetweenTokens = "between_tokens",
}

/** Prefix of refusal counters; the refusal reason follows. */
export const refusedPrefix = "refused.";

/** Prefix of counters of lost answers per caller; the caller's name follows. */
export const callerPrefix = "caller.";

/** Stands for the group, model or caller where there is none or it is not counted apart. */
export const otherName = "other";

/** A counter's key, split at the slashes. */
export interface BurnKey {
  readonly group: string;
  readonly model: string;
  readonly name: string;
}

/** Formats a key as `group/model/name`. */
export function formatBurnKey(key: BurnKey): string {
  return `${key.group}/${key.model}/${key.name}`;
}

/** Parses `group/model/name`, where the name may contain slashes; undefined if malformed. */
export function parseBurnKey(text: string): BurnKey | undefined {
  const [group, model, ...rest] = text.split("/");
  if (!group || !model || rest.length === 0) return undefined;
  return { group, model, name: rest.join("/") };
}

/** Refusals caused by the caller; they do not consume error budget. */
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

/** Whether the caller caused a refusal, so that it consumes no error budget. */
export function isCallerFault(reason: RefusalReason): boolean {
  return callerFaults.has(reason);
}

const lossCounters: ReadonlySet<string> = new Set([
  BurnCounter.Late,
  BurnCounter.Failed,
  BurnCounter.Unknown,
]);

/** Whether a counter counts lost answers, which consume error budget. */
export function isLossCounter(name: string): boolean {
  if (lossCounters.has(name)) return true;
  if (!name.startsWith(refusedPrefix)) return false;
  return !isCallerFault(name.slice(refusedPrefix.length) as RefusalReason);
}
