/**
 * Counters of useful answers, tokens in time and refusals, by caller group and
 * model. They cover one reporting interval; their number is bounded regardless
 * of the names that callers send.
 */
import {
  type BundleObjective,
  Outcome,
  RecordKind,
  type RecordOf,
  type RefusalReason,
} from "../../types/index.ts";
import {
  BurnCounter,
  callerPrefix,
  formatBurnKey,
  isLossCounter,
  otherName,
  refusedPrefix,
} from "./burn_names.ts";

const maxSeries = 512;
const maxCallers = 4_096;
const maxReportedCallers = 10;

/** Latency limits of a group and model without an objective in the bundle. */
export const defaultObjective = {
  "first_token_ms": 1_400,
  "between_tokens_ms": 55,
} as const;

/** What is known of a call when it starts. */
export interface BurnCallStart {
  /** Name of the caller; absent while it is not known. */
  readonly caller?: string;
  readonly group?: string;
  /** Name of the model or of the plain service. */
  readonly model?: string;
  /** Time from the start within which an answer is useful, in ms. */
  readonly deadlineMs?: number;
}

/** How a call ended. */
export interface BurnCallEnd {
  readonly outcome: Outcome;
  /** Present on refused calls. */
  readonly refusal?: RefusalReason;
  /** Whether the caller disconnected before its answer was complete. */
  readonly abandoned?: boolean;
}

/** Records what happens in one call. */
export interface BurnCall {
  /** Counts tokens sent to the caller in one write, one by default, as in time or late. */
  readonly recordTokens: (count?: number) => void;
  /** Counts the end of the call; further ends of the same call are ignored. */
  readonly recordEnd: (end: BurnCallEnd) => void;
}

/** Log record with the counters of one instance over one interval. */
export type BurnSummary = RecordOf<RecordKind.BurnSummary>;

/** Service-level counters of one instance since the last summary in the log. */
export interface BurnCounters {
  readonly startCall: (start: BurnCallStart) => BurnCall;
  /**
   * Builds a summary of the counts since the last `clear`. A summary replaces
   * an earlier one with the same start time and an earlier end, so after an
   * unconfirmed append a new summary can be built and appended.
   */
  readonly buildSummary: (
    options?: { readonly last?: boolean },
  ) => BurnSummary;
  /** Subtracts a summary's counts and clears the callers; called once the log holds the summary. */
  readonly clear: (summary: BurnSummary) => void;
}

/** Options of `createBurnCounters`. */
export interface BurnCountersOptions {
  readonly instance: string;
  /** Returns the objectives of the bundle in force. */
  readonly getObjectives: () => readonly BundleObjective[];
}

/** Creates counters at zero; their first interval starts now. */
export function createBurnCounters(
  options: BurnCountersOptions,
): BurnCounters {
  const counters = createCounterMap({
    maxKeys: maxSeries,
    overflow: "overflow",
  });
  const callers = createCounterMap({
    maxKeys: maxCallers,
    overflow: `${callerPrefix}${otherName}`,
  });
  let fromMs = Date.now();

  function startCall(start: BurnCallStart): BurnCall {
    const group = start.group ?? otherName;
    const model = start.model ?? otherName;
    const limits = findLimits(options.getObjectives(), { group, model });
    const startedMs = performance.now();
    let lastMs: number | undefined;
    let isEnded = false;

    function add(name: string, count: number): void {
      counters.add(formatBurnKey({ group, model, name }), count);
    }

    function recordTokens(count = 1): void {
      const nowMs = performance.now();
      if (lastMs === undefined) {
        const inTime = nowMs - startedMs <= limits.first_token_ms;
        const { FirstTokenInTime, FirstTokenLate } = BurnCounter;
        add(inTime ? FirstTokenInTime : FirstTokenLate, 1);
        if (count > 1) add(BurnCounter.TokensInTime, count - 1);
      } else {
        const inTime = nowMs - lastMs <= limits.between_tokens_ms * count;
        add(inTime ? BurnCounter.TokensInTime : BurnCounter.TokensLate, count);
      }
      lastMs = nowMs;
    }

    function recordEnd(end: BurnCallEnd): void {
      if (isEnded) return;
      isEnded = true;
      const elapsedMs = performance.now() - startedMs;
      const name = chooseCounter(end, {
        isLate: elapsedMs > (start.deadlineMs ?? Infinity),
      });
      add(name, 1);
      if (start.caller === undefined || !isLossCounter(name)) return;
      const key = { group, model, name: callerPrefix + start.caller };
      callers.add(formatBurnKey(key), 1);
    }

    return { recordTokens: recordTokens, recordEnd };
  }

  function buildSummary(
    { last = false }: { readonly last?: boolean } = {},
  ): BurnSummary {
    return {
      kind: RecordKind.BurnSummary,
      instance: options.instance,
      fromMs,
      // The next start time differs from this one even if the wall clock steps back.
      toMs: Math.max(Date.now(), fromMs + 1),
      ...(last && { last }),
      counters: { ...counters.list(), ...selectTopCallers(callers.list()) },
    };
  }

  function clear(summary: BurnSummary): void {
    counters.remove(summary.counters);
    callers.clear();
    fromMs = summary.toMs;
  }

  return { startCall, buildSummary, clear };
}

/** Chooses the one counter that the end of a call increments. */
function chooseCounter(
  end: BurnCallEnd,
  { isLate }: { readonly isLate: boolean },
): string {
  if (end.abandoned) return BurnCounter.Abandoned;
  if (end.refusal !== undefined) return refusedPrefix + end.refusal;
  switch (end.outcome) {
    case Outcome.Done:
      return isLate ? BurnCounter.Late : BurnCounter.Useful;
    case Outcome.NotRun:
      return BurnCounter.Failed;
    case Outcome.Unknown:
      return BurnCounter.Unknown;
  }
}

function findLimits(
  objectives: readonly BundleObjective[],
  { group, model }: { readonly group: string; readonly model: string },
): Pick<BundleObjective, "first_token_ms" | "between_tokens_ms"> {
  const own = objectives.filter((objective) => objective.group === group);
  return own.find((objective) => objective.model === model) ??
    own.find((objective) => objective.model === undefined) ?? defaultObjective;
}

/** Counters by key; beyond a maximum number of keys, new keys share an overflow counter. */
interface CounterMap {
  readonly add: (key: string, count: number) => void;
  /** Subtracts counts and deletes the counters that reach zero. */
  readonly remove: (counts: Readonly<Record<string, number>>) => void;
  readonly clear: () => void;
  readonly list: () => Readonly<Record<string, number>>;
}

function createCounterMap(
  { maxKeys, overflow }: {
    readonly maxKeys: number;
    readonly overflow: string;
  },
): CounterMap {
  const counts = new Map<string, number>();
  const overflowKey = formatBurnKey({
    group: otherName,
    model: otherName,
    name: overflow,
  });
  return {
    add: (key, count) => {
      const isFull = counts.size >= maxKeys - 1 && !counts.has(key);
      const target = isFull ? overflowKey : key;
      counts.set(target, (counts.get(target) ?? 0) + count);
    },
    remove: (subtracted) => {
      for (const [key, count] of counts) {
        const rest = count -
          (Object.hasOwn(subtracted, key) ? subtracted[key] ?? 0 : 0);
        if (rest > 0) counts.set(key, rest);
        else counts.delete(key);
      }
    },
    clear: () => counts.clear(),
    list: () => Object.fromEntries(counts),
  };
}

/** Selects the callers with the most lost answers. */
function selectTopCallers(
  counts: Readonly<Record<string, number>>,
): Readonly<Record<string, number>> {
  const entries = Object.entries(counts);
  entries.sort(([, left], [, right]) => right - left);
  return Object.fromEntries(entries.slice(0, maxReportedCallers));
}
