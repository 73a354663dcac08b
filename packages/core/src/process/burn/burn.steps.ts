/** Steps of `burn.feature`. */
import assert from "node:assert/strict";
import { After, Given, Then, When } from "@cucumber/cucumber";
import {
  pauseClock,
  type PausedClock,
  pausedClockStartMs,
} from "@trefoildoor/testing";
import {
  type BundleObjective,
  type LogRecord,
  Outcome,
  RecordKind,
  RefusalReason,
} from "../../types/index.ts";
import {
  BurnAlert,
  type BurnCounters,
  BurnGapKind,
  BurnIndicator,
  type BurnReport,
  type BurnSummary,
  computeBurn,
  createBurnCounters,
  writeBurnSummaries,
} from "./index.ts";

/** State of one scenario. */
interface BurnWorld {
  clock?: PausedClock;
  counters: BurnCounters;
  stream: BurnSummary[];
  refusals: number;
  report: BurnReport;
  matchSnapshot: (received: unknown) => void;
}

const minuteMs = 60_000;
const hourMs = 60 * minuteMs;
const intervalMs = 30_000;

const objective: BundleObjective = {
  group: "shops",
  model: "reader",
  useful: 0.99,
  "first_token_ms": 1_400,
  "between_tokens_ms": 55,
  "in_time": 0.95,
};

After(function (this: BurnWorld): void {
  this.clock?.uninstall();
});

Given(
  "the counters of an instance on a paused clock",
  function (this: BurnWorld): void {
    this.clock = pauseClock();
    this.stream = [];
    this.counters = createBurnCounters({
      instance: "entry-1",
      getObjectives: () => [objective],
    });
  },
);

Given(
  "a burn stream that refuses {int} appends after taking effect",
  function (this: BurnWorld, count: number): void {
    this.refusals = count;
  },
);

When("calls of every kind are counted", function (this: BurnWorld): void {
  const { clock, counters } = this;
  const start = {
    caller: "otaru",
    group: "shops",
    model: "reader",
    deadlineMs: 5_000,
  };
  const useful = counters.startCall(start);
  clock?.tick(1_400);
  useful.recordTokens();
  clock?.tick(55);
  useful.recordTokens();
  clock?.tick(56);
  useful.recordTokens();
  clock?.tick(110);
  useful.recordTokens(2);
  useful.recordEnd({ outcome: Outcome.Done });
  useful.recordEnd({ outcome: Outcome.Unknown });
  const late = counters.startCall(start);
  clock?.tick(5_001);
  late.recordTokens();
  late.recordEnd({ outcome: Outcome.Done });
  counters.startCall(start).recordEnd({ outcome: Outcome.Unknown });
  counters.startCall(start).recordEnd({
    outcome: Outcome.Done,
    abandoned: true,
  });
  for (const refusal of [RefusalReason.Overloaded, RefusalReason.Malformed]) {
    counters.startCall(start).recordEnd({ outcome: Outcome.NotRun, refusal });
  }
  counters.startCall({}).recordEnd({
    outcome: Outcome.NotRun,
    refusal: RefusalReason.Unauthorized,
  });
});

When(
  "{int} calls of different groups, models and callers are counted",
  function (this: BurnWorld, count: number): void {
    for (let index = 0; index < count; index++) {
      this.counters.startCall({
        caller: `caller-${index}`,
        group: `group-${index}`,
        model: `model-${index}`,
      }).recordEnd({ outcome: Outcome.Unknown });
    }
  },
);

When(
  "a call ends in each of {int} intervals and the instance stops",
  async function (this: BurnWorld, intervals: number): Promise<void> {
    const stopping = new AbortController();
    const task = writeBurnSummaries({
      counters: this.counters,
      append: (records) => appendBurn(this, records),
      signal: stopping.signal,
      intervalMs,
      logEvent: () => undefined,
    });
    for (let index = 0; index < intervals; index++) {
      const call = this.counters.startCall({
        group: "shops",
        model: "reader",
      });
      call.recordEnd({ outcome: Outcome.Done });
      await this.clock?.tickAsync(intervalMs);
    }
    stopping.abort();
    await task;
  },
);

Given(
  "a replayed day of three instances with one outage and one killed instance",
  function (this: BurnWorld): void {
    this.stream = [...replayDay()];
    this.report = reportDay(this.stream);
  },
);

Then(
  "the service-level summary matches the snapshot",
  function (this: BurnWorld): void {
    this.matchSnapshot(this.counters.buildSummary());
  },
);

Then(
  "the summary has at most {int} counters and all {int} calls",
  function (this: BurnWorld, most: number, calls: number): void {
    const { counters } = this.counters.buildSummary();
    const own = Object.entries(counters).filter(([key]) =>
      !key.includes("caller.")
    );
    assert.ok(Object.keys(counters).length <= most);
    assert.equal(own.reduce((sum, [, count]) => sum + count, 0), calls);
  },
);

Then(
  "the report from the stream counts {int} useful answers and no gap",
  function (this: BurnWorld, useful: number): void {
    const report = computeBurn(this.stream, {
      objectives: [objective],
      window: {
        fromMs: pausedClockStartMs,
        toMs: pausedClockStartMs + hourMs,
      },
    });
    assert.equal(report.rows[0]?.good, useful);
    const own = report.gaps.filter(({ instance }) => instance !== undefined);
    assert.deepEqual(own, []);
  },
);

Then(
  "the report has the known burn rates, budgets and alerts",
  function (this: BurnWorld): void {
    const row = this.report.rows.find(({ indicator }) =>
      indicator === BurnIndicator.Useful
    );
    // 3 instances x 1440 minutes x 10 answers, less 240 minutes of one
    // instance; 30 minutes lose 3 of 10 on the two that are left. The last
    // 6 hours hold 8,400 answers: 7,200 of two instances, 1,200 of the third.
    assert.equal(row?.total, 40_800);
    assert.equal(row?.good, 40_800 - 180);
    assert.ok(Math.abs((row?.budgetLeft ?? 0) - (1 - 180 / 408)) < 1e-9);
    const rates = row?.rates.map(({ rate }) => Math.round(rate * 100) / 100);
    assert.deepEqual(rates, [30, 30, 15, 2.14, 0.44]);
    assert.equal(row?.alert, BurnAlert.Page);
    assert.deepEqual(this.report.gaps, [{
      kind: BurnGapKind.LostEnd,
      instance: "entry-3",
      fromMs: 20 * hourMs,
    }]);
  },
);

Then(
  "the service-level report matches the snapshot",
  function (this: BurnWorld): void {
    this.matchSnapshot(this.report);
  },
);

Then(
  "shuffled and repeated records give the same report",
  function (this: BurnWorld): void {
    const shuffled = this.stream.toSorted((left, right) =>
      (left.fromMs * 7919) % 1009 - (right.fromMs * 7919) % 1009
    );
    const early = shuffled.slice(0, 500).map((record) => ({
      ...record,
      toMs: record.toMs - 1,
      counters: {},
    }));
    const again = reportDay([...early, ...shuffled, ...shuffled]);
    assert.deepEqual(again, this.report);
  },
);

function appendBurn(
  world: BurnWorld,
  records: readonly LogRecord[],
): Promise<void> {
  for (const record of records) {
    if (record.kind === RecordKind.BurnSummary) world.stream.push(record);
  }
  if (world.refusals-- > 0) return Promise.reject(new Error("no answer"));
  return Promise.resolve();
}

/** Generates ten answers per minute and instance; three of ten are refused in the last 30 minutes. */
function* replayDay(): Generator<BurnSummary> {
  for (let minute = 0; minute < 24 * 60; minute++) {
    const isOutage = minute >= 24 * 60 - 30;
    for (const instance of ["entry-1", "entry-2", "entry-3"]) {
      if (instance === "entry-3" && minute >= 20 * 60) continue;
      yield {
        kind: RecordKind.BurnSummary,
        instance,
        fromMs: minute * minuteMs,
        toMs: (minute + 1) * minuteMs,
        counters: {
          "shops/reader/useful": isOutage ? 7 : 10,
          "shops/reader/refused.malformed": 1,
          "shops/reader/first_token_in_time": 7,
          "shops/reader/tokens_in_time": 990,
          "shops/reader/tokens_late": 10,
          ...(isOutage && {
            "shops/reader/refused.overloaded": 3,
            "shops/reader/caller.otaru": 2,
            "shops/reader/caller.kushiro": 1,
          }),
        },
      };
    }
  }
}

function reportDay(records: readonly BurnSummary[]): BurnReport {
  return computeBurn(records, {
    objectives: [objective],
    window: { fromMs: 0, toMs: 24 * hourMs },
  });
}
