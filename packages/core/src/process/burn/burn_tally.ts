/** Sums of service-level counters over many summaries. */
import type { BurnSummary } from "./burn_counters.ts";
import {
  BurnCounter,
  BurnIndicator,
  type BurnKey,
  callerPrefix,
  isLossCounter,
  parseBurnKey,
} from "./burn_names.ts";
import type { BurnLoss } from "./compute_burn.ts";

/** Number of good events out of all. */
export interface GoodCount {
  readonly good: number;
  readonly total: number;
}

/** Caller group and model to count; without a model, all models of the group. */
export interface TallyScope {
  readonly group: string;
  readonly model?: string;
}

/** Sums of the counters of many summaries. */
export interface Tally {
  /** Counts good and total events of an indicator within a scope. */
  readonly count: (scope: TallyScope, indicator: BurnIndicator) => GoodCount;
  /** Lists callers by lost answers, most first. */
  readonly listCallers: () => readonly BurnLoss[];
  /** Lists causes by lost answers, most first. */
  readonly listCauses: () => readonly BurnLoss[];
}

/** A counter's key with its sum. */
interface CounterSum {
  readonly key: BurnKey;
  readonly sum: number;
}

/** Sums the counters of summaries; counters with malformed keys are ignored. */
export function createTally(summaries: readonly BurnSummary[]): Tally {
  const sums = new Map<string, number>();
  for (const { counters } of summaries) {
    for (const [text, count] of Object.entries(counters)) {
      sums.set(text, (sums.get(text) ?? 0) + count);
    }
  }
  const counted = [...sums].flatMap(([text, sum]) => {
    const key = parseBurnKey(text);
    return key ? [{ key, sum }] : [];
  });
  return {
    count: (scope, indicator) => countGood(counted, { scope, indicator }),
    listCallers: () =>
      listShares(
        counted.filter(({ key }) => key.name.startsWith(callerPrefix)),
        (name) => name.slice(callerPrefix.length),
      ),
    listCauses: () =>
      listShares(
        counted.filter(({ key }) => isLossCounter(key.name)),
        (name) => name,
      ),
  };
}

function countGood(
  counted: readonly CounterSum[],
  { scope, indicator }: {
    readonly scope: TallyScope;
    readonly indicator: BurnIndicator;
  },
): GoodCount {
  const isGood = (name: string): boolean => goodCounters[indicator] === name;
  const isBad = (name: string): boolean =>
    indicator === BurnIndicator.Useful
      ? isLossCounter(name)
      : lateCounters[indicator] === name;
  let good = 0;
  let bad = 0;
  for (const { key, sum } of counted) {
    if (key.group !== scope.group) continue;
    if (scope.model !== undefined && key.model !== scope.model) continue;
    if (isGood(key.name)) good += sum;
    if (isBad(key.name)) bad += sum;
  }
  return { good, total: good + bad };
}

const goodCounters: Readonly<Record<BurnIndicator, BurnCounter>> = {
  [BurnIndicator.Useful]: BurnCounter.Useful,
  [BurnIndicator.FirstToken]: BurnCounter.FirstTokenInTime,
  [BurnIndicator.BetweenTokens]: BurnCounter.TokensInTime,
};

const lateCounters: Readonly<
  Record<Exclude<BurnIndicator, BurnIndicator.Useful>, BurnCounter>
> = {
  [BurnIndicator.FirstToken]: BurnCounter.FirstTokenLate,
  [BurnIndicator.BetweenTokens]: BurnCounter.TokensLate,
};

function listShares(
  counted: readonly CounterSum[],
  formatName: (name: string) => string,
): readonly BurnLoss[] {
  const shares = counted.map(({ key, sum }) => ({
    group: key.group,
    model: key.model,
    name: formatName(key.name),
    lost: sum,
  }));
  return shares.sort((left, right) =>
    right.lost - left.lost || compareNames(left, right)
  );
}

function compareNames(left: BurnLoss, right: BurnLoss): number {
  const names = [left, right].map(({ group, model, name }) =>
    `${group}/${model}/${name}`
  );
  return (names[0] ?? "") < (names[1] ?? "") ? -1 : 1;
}
