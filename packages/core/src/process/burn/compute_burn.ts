/**
 * The service-level report: burn rates over several windows, what is left of
 * each error budget, and who lost answers why.
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

/** Losses in the longer window below which no alert is raised. */
const minAlertLosses = 5;
const maxReportedCallers = 20;

/** How urgent a burn rate is. */
export enum BurnAlert {
  None = "none",
  /** The budget will not last: look into it within days. */
  Ticket = "ticket",
  /** The budget goes within days or hours: act now. */
  Page = "page",
}

/** A rule that raises an alert when both windows burn faster than `rate`. */
interface AlertRule {
  readonly alert: BurnAlert;
  readonly longMs: number;
  readonly shortMs: number;
  readonly rate: number;
}

/** Rules by urgency; rates are for a budget of 30 days. */
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

/** Windows of the burn rates, in ms. */
export const burnWindowsMs: readonly number[] = [
  5 * minuteMs,
  30 * minuteMs,
  hourMs,
  6 * hourMs,
  3 * dayMs,
];

/** Burn rate of one window: 1 uses the budget up exactly at its end. */
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
  /** Share of the error budget that is left; negative when overspent. */
  readonly budgetLeft: number;
  readonly rates: readonly BurnRate[];
  readonly alert: BurnAlert;
}

/** A caller or cause with the answers it lost. */
export interface BurnShare {
  readonly group: string;
  readonly model: string;
  readonly name: string;
  readonly lost: number;
}

/** The service-level report. */
export interface BurnReport extends TimeInterval {
  readonly instances: number;
  readonly rows: readonly BurnRow[];
  /** Callers that lost most answers, of those that instances named. */
  readonly callers: readonly BurnShare[];
  readonly causes: readonly BurnShare[];
  readonly gaps: readonly BurnGap[];
}

/** Options of `computeBurn`. */
export interface ComputeBurnOptions {
  readonly objectives: readonly BundleObjective[];
  readonly window: TimeInterval;
}

/**
 * Computes the report of a window from summaries in any order, with repeats.
 * A summary belongs to the window in which it ends.
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

/** The tally of one window of the burn rates. */
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
      rate: computeRate(counts, target),
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
    budgetLeft: 1 - computeRate({ good, total }, target),
    rates,
    alert: chooseAlert(rates),
  };
}

function computeRate(
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
