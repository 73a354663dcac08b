/** Log lines of verdicts that came into force or ended, with their evidence and its age. */
import type { LogEvent } from "../../shared/index.ts";
import { type OnVerdicts, verdictMs } from "./crash_evidence.ts";
import { crashEvents } from "./events.ts";

/** Calls, traits or processes that one log line names. */
const maxNamed = 16;

/** Logs a change of the verdicts. */
export function logVerdicts(
  { begun, ended }: Parameters<OnVerdicts>[0],
  log: LogEvent,
): void {
  const nowMs = performance.now();
  for (const verdict of begun) {
    log(crashEvents.verdictBegun, {
      trait: verdict.trait,
      crashes: verdict.crashes.length,
      processes: formatSome(verdict.crashes),
      firstCrashAgeMs: Math.round(nowMs - verdict.firstCrashMs),
      lastCrashAgeMs: Math.round(nowMs - verdict.lastCrashMs),
      tied: formatSome([...verdict.tied]),
    });
  }
  for (const { trait, lastCrashMs } of ended) {
    const lastCrashAgeMs = Math.round(nowMs - lastCrashMs);
    log(crashEvents.verdictEnded, {
      trait,
      lastCrashAgeMs,
      expired: lastCrashAgeMs >= verdictMs,
    });
  }
}

/** Joins distinct texts with spaces, the first `maxNamed` of them. */
export function formatSome(texts: readonly string[]): string {
  const distinct = [...new Set(texts)];
  const more = distinct.length - maxNamed;
  const some = distinct.slice(0, maxNamed).join(" ");
  return more > 0 ? `${some} and ${more} more` : some;
}
