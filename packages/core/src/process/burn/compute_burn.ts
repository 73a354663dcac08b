/**
 * The service-level report: burn rates over several windows, the remaining
 * share of each error budget, and lost answers by caller and by cause.
 */
import type { BundleObjective } from "../../types/index.ts";
import type { BurnSummary } from "./burn_counters.ts";
import {
  type BurnGap,
  findBurnGaps,
  pickNewestSummaries,
  type TimeInterval,
} from "./burn_gaps.ts";
import { BurnIndicator } from "./burn_names.ts";
import { createTally, type Tally } from "./burn_tally.ts";

const minuteMs = 60_000;
const hourMs = 60 * minuteMs;
const dayMs = 24 * hourMs;

/** Lost answers in the longer window below which no alert is raised. */
const minAlertLosses = 5;
const maxReportedCallers = 20;

/** Urgency of the response that a burn rate needs. */
export enum BurnAlert {
  None = "none",
  /** The budget will not last its period; investigate within days. */
  Ticket = "ticket",
  /** The budget will be exhausted within hours or days; act now. */
  Page = "page",
}

/** Raises an alert when the burn rates of both windows reach `rate`. */
interface AlertRule {
  readonly alert: BurnAlert;
  readonly longMs: number;
  readonly shortMs: number;
  readonly rate: number;
}

/** Rules by urgency, most urgent first; the rates assume an error budget over 30 days. */
const alertRules: readonly AlertRule[] = [
  {
    alert: BurnAlert.Page,
    longMs: hourMs,
    shortMs: 5 * minuteMs,
    rate: 14.4,
  },
  {
    alert: BurnAlert.Page,
    longMs: 6 * hourMs,
    shortMs: 30 * minuteMs,
    rate: 6,
  },
  { alert: BurnAlert.Ticket, longMs: 3 * dayMs, shortMs: 6 * hourMs, rate: 1 },
];

/** Windows for which a report has burn rates, in ms, shortest first. */
export const burnWindowsMs: readonly number[] = [
  5 * minuteMs,
  30 * minuteMs,
  hourMs,
  6 * hourMs,
  3 * dayMs,
];

/** Burn rate of one window; at rate 1 the budget lasts exactly its whole period. */
export interface BurnRate {
  readonly windowMs: number;
  readonly rate: number;
  readonly lost: number;
  readonly total: number;
}

/** One objective's indicator over the report's window. */
export interface BurnRow {
  readonly group: string;
  /** Absent where the objective covers all models of the group. */
  readonly model?: string;
  readonly indicator: BurnIndicator;
  readonly target: number;
  readonly good: number;
  readonly total: number;
  /** Remaining share of the error budget, at most 1; negative when overspent. */
  readonly budgetLeft: number;
  readonly rates: readonly BurnRate[];
  readonly alert: BurnAlert;
}

/** Number of lost answers of one caller or cause, by group and model. */
export interface BurnLoss {
  readonly group: string;
  readonly model: string;
  readonly name: string;
  readonly lost: number;
}

/** Service-level report of all instances over one window. */
export interface BurnReport extends TimeInterval {
  readonly instances: number;
  readonly rows: readonly BurnRow[];
  /** Callers with the most lost answers; each instance reports only its top callers. */
  readonly callers: readonly BurnLoss[];
  readonly causes: readonly BurnLoss[];
  readonly gaps: readonly BurnGap[];
}

/** Objectives and window of a report. */
export interface ComputeBurnOptions {
  readonly objectives: readonly BundleObjective[];
  readonly window: TimeInterval;
}

/**
 * Computes the report of a window. The summaries may be in any order and
 * contain duplicates; a summary counts in the window in which it ends.
 */
export function computeBurn(
  records: readonly BurnSummary[],
  options: ComputeBurnOptions,
): BurnReport {
  const { objectives, window } = options;
  const newest = pickNewestSummaries(records);
  const summaries = pickWithin(newest, window);
  const tally = createTally(summaries);
  const rates = burnWindowsMs.map((windowMs) => ({
    windowMs,
    tally: createTally(
      pickWithin(newest, { ...window, fromMs: window.toMs - windowMs }),
    ),
  }));
  const rows = objectives.flatMap((objective) =>
    Object.values(BurnIndicator).map((indicator) =>
      computeRow({ objective, indicator }, tally, { rates })
    )
  );
  return {
    ...window,
    instances: new Set(summaries.map(({ instance }) => instance)).size,
    rows,
    callers: tally.listCallers().slice(0, maxReportedCallers),
    causes: tally.listCauses(),
    gaps: findBurnGaps(summaries, window),
  };
}

/** Sums of the counters of one burn-rate window. */
interface WindowTally {
  readonly windowMs: number;
  readonly tally: Tally;
}

function computeRow(
  { objective, indicator }: {
    readonly objective: BundleObjective;
    readonly indicator: BurnIndicator;
  },
  tally: Tally,
  options: { readonly rates: readonly WindowTally[] },
): BurnRow {
  const { group, model } = objective;
  const scope = { group, ...(model !== undefined && { model }) };
  const target = indicator === BurnIndicator.Useful
    ? objective.useful
    : objective.in_time;
  const { good, total } = tally.count(scope, indicator);
  const rates = options.rates.map((inner) => {
    const counts = inner.tally.count(scope, indicator);
    return {
      windowMs: inner.windowMs,
      rate: computeBurnRate(counts, target),
      lost: counts.total - counts.good,
      total: counts.total,
    };
  });
  return {
    ...scope,
    indicator,
    target,
    good,
    total,
    budgetLeft: 1 - computeBurnRate({ good, total }, target),
    rates,
    alert: chooseAlert(rates),
  };
}

function computeBurnRate(
  counts: { readonly good: number; readonly total: number },
  target: number,
): number {
  if (counts.total === 0) return 0;
  return (counts.total - counts.good) / counts.total / (1 - target);
}

function chooseAlert(rates: readonly BurnRate[]): BurnAlert {
  const rule = alertRules.find((candidate) => {
    const long = rates.find((rate) => rate.windowMs === candidate.longMs);
    const short = rates.find((rate) => rate.windowMs === candidate.shortMs);
    if (!long || !short || long.lost < minAlertLosses) return false;
    return long.rate >= candidate.rate && short.rate >= candidate.rate;
  });
  return rule?.alert ?? BurnAlert.None;
}

function pickWithin(
  summaries: readonly BurnSummary[],
  { fromMs, toMs }: TimeInterval,
): readonly BurnSummary[] {
  return summaries.filter((summary) =>
    summary.toMs > fromMs && summary.toMs <= toMs
  );
}
