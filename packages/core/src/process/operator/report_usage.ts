/**
 * Reports to the operator how many calls of each workspace began in each window.
 * What is sent is fixed in the store first, in the record of the claim under
 * which it is sent: the record names the next window to fix, so that a window is
 * fixed once, and holds the reports that may not have arrived, so that a later
 * holder sends exactly these. Runs at the instance that makes the calls.
 */
import { type LogEvent, logEvent } from "../../shared/index.ts";
import {
  OperatorAnswer,
  type OperatorApi,
  type OperatorRecord,
  type UsageReport,
} from "../../types/index.ts";
import type { ActivityCollector, ActivitySource } from "../activity/index.ts";
import type { DutyStamp, RecordedDuty, RecordedTerm } from "../fleet/index.ts";
import { operatorEvents } from "./events.ts";
import { createPause, type Pause } from "./pause.ts";

/** Dependencies and settings of the reports. */
export interface UsageReporterOptions {
  readonly duty: RecordedDuty<OperatorRecord>;
  readonly api: Pick<OperatorApi, "sendUsage">;
  readonly collector: ActivityCollector;
  readonly listSources: () => readonly ActivitySource[];
  readonly windowMs: number;
  /** Time after its end for which instances keep what they have counted in a window, in ms. */
  readonly retentionMs: number;
  /** Time of day that the instances agree on, in ms since the start of 1970. */
  readonly getDateMs: () => number;
  /** Pause after calls that failed. */
  readonly pause: Pause;
  readonly logEvent?: LogEvent;
}

/** Reports windows that are over. */
export interface UsageReporter {
  /** Fixes and sends what is due; to be called again and again. Does not reject. */
  readonly advance: () => Promise<void>;
  /** First window that this instance knows not to be fixed; undefined before its first claim. */
  readonly getNextWindow: () => number | undefined;
}

/** Time after the end of a window until its calls count as told, in ms: clocks of instances differ, and the last calls are still beginning. */
const toleranceMs = 400;
/** Time after the end of a window after which it is fixed without what some instances have counted, in ms. */
const longestWaitMs = 3_500;

/** Windows that a claim may fix. */
interface SettledWindows {
  readonly last: number;
  /** Whether all instances have told what they counted in the last one. */
  readonly isWhole: boolean;
}

/** Creates the reporter of one instance. */
export function createUsageReporter(
  options: UsageReporterOptions,
): UsageReporter {
  const { duty, collector, windowMs, getDateMs, pause } = options;
  const log = options.logEvent ?? logEvent;
  const claimPause = createPause();
  const accepted = new Set<number>();
  let known: OperatorRecord | undefined;

  /** The windows that are over and told by all instances, or waited for long enough. */
  function findSettled(): SettledWindows {
    const dateMs = getDateMs() - toleranceMs;
    const last = Math.floor(dateMs / windowMs) - 1;
    const sinceEndMs = dateMs - (last + 1) * windowMs;
    const isWhole = collector.hasHeardAll(
      options.listSources(),
      performance.now() - sinceEndMs,
    );
    const isWaitOver = sinceEndMs + toleranceMs > longestWaitMs;
    return isWhole || isWaitOver
      ? { last, isWhole }
      : { last: last - 1, isWhole: true };
  }

  /** Builds the record that fixes the settled windows that no record has fixed before. */
  function buildRecord(
    stamp: DutyStamp,
    newest: OperatorRecord | undefined,
    { last, isWhole }: SettledWindows,
  ): OperatorRecord {
    const nextWindow = findNextWindow(newest, { last, era: stamp.era });
    const oldest = Math.floor((getDateMs() - options.retentionMs) / windowMs);
    const reports = (newest?.reports ?? []).filter(({ window }) =>
      !accepted.has(window)
    );
    const first = Math.max(nextWindow, Math.min(oldest, last + 1));
    if (first > nextWindow) {
      log(operatorEvents.usageGivenUp, { window: nextWindow, until: first });
    }
    for (let window = first; window <= last; window++) {
      const counts = collector.getCounts(window);
      reports.push({ window, counts });
      if (window === last && !isWhole) {
        log(operatorEvents.usageIncomplete, { window });
      }
    }
    return {
      ...stamp,
      planned: newest?.planned,
      windowsEra: stamp.era,
      nextWindow: Math.max(nextWindow, last + 1),
      reports,
    };
  }

  /** First window that no record has fixed; after a copy of the store came back, none that has begun: the lost records may have fixed it. */
  function findNextWindow(
    newest: OperatorRecord | undefined,
    { last, era }: { readonly last: number; readonly era: number },
  ): number {
    const known = newest?.nextWindow ?? last + 1;
    if (era === (newest?.windowsEra ?? 0)) return known;
    const begun = Math.floor(getDateMs() / windowMs);
    if (known < begun) {
      log(operatorEvents.usageGivenUp, { window: known, until: begun });
    }
    return Math.max(known, begun);
  }

  function logFixed(
    { reports }: OperatorRecord,
    since: number | undefined,
  ): void {
    for (const { window, counts } of reports) {
      if (since !== undefined && window < since) continue;
      const values = Object.values(counts);
      log(operatorEvents.usageFixed, {
        window,
        workspaces: values.length,
        calls: values.reduce((sum, count) => sum + count, 0),
        afterMs: Math.round(getDateMs() - (window + 1) * windowMs),
      });
    }
  }

  async function claim(
    settled: SettledWindows,
  ): Promise<RecordedTerm<OperatorRecord> | undefined> {
    let since: number | undefined;
    const term = await duty.claim((stamp, newest) => {
      since = newest?.nextWindow;
      return buildRecord(stamp, newest, settled);
    });
    if (!term) return void claimPause.recordFailure();
    claimPause.recordSuccess();
    known = term.claim;
    logFixed(known, since);
    collector.dropBefore(known.nextWindow ?? settled.last + 1);
    const open = new Set(known.reports.map(({ window }) => window));
    for (const window of accepted) {
      if (!open.has(window)) accepted.delete(window);
    }
    return term;
  }

  function listUnsent(): readonly UsageReport[] {
    return known?.reports.filter(({ window }) => !accepted.has(window)) ?? [];
  }

  /** Sends one report; false if no more are to be sent under this claim. */
  async function sendReport(
    report: UsageReport,
    term: RecordedTerm<OperatorRecord>,
  ): Promise<boolean> {
    const { window } = report;
    const { holder, fence } = term.claim;
    let why: string;
    let isUnwritten = false;
    try {
      const answer = await options.api.sendUsage(report, { holder, fence }, {
        mayWrite: () => {
          isUnwritten = !term.isCurrent();
          return !isUnwritten;
        },
      });
      if (answer === OperatorAnswer.Accepted) {
        accepted.add(window);
        pause.recordSuccess();
        log(operatorEvents.usageSent, {
          window,
          fence,
          afterMs: Math.round(getDateMs() - (window + 1) * windowMs),
        });
        return true;
      }
      // The operator has seen a higher number: this one is not used again.
      if (answer === OperatorAnswer.Conflict) duty.dropFence(fence);
      why = answer;
      pause.recordFailure();
    } catch (error) {
      why = String(error);
      if (isUnwritten) pause.recordFailure();
      else pause.recordSilence();
    }
    log(operatorEvents.usageNotSent, { window, fence, why });
    return false;
  }

  return {
    getNextWindow: () => known?.nextWindow,
    async advance(): Promise<void> {
      if (!pause.isOver() || !claimPause.isOver()) return;
      const settled = findSettled();
      const isDue = known?.nextWindow === undefined ||
        known.nextWindow <= settled.last;
      if (!isDue && listUnsent().length === 0) return;
      const term = await claim(settled);
      if (!term) return;
      for (const report of listUnsent()) {
        if (!term.isCurrent() || !await sendReport(report, term)) return;
      }
    },
  };
}
