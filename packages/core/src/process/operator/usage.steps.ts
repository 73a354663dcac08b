/** Steps of `usage.feature`. */
import { strict as assert } from "node:assert";
import { After, Given, Then, When } from "@cucumber/cucumber";
import { pauseClock, type PausedClock } from "@trefoildoor/testing";
import fc from "fast-check";
import { type AgreedTime, createAgreedTime } from "../activity/index.ts";
import { createPause, type Pause } from "./index.ts";
import {
  addInstance,
  createReportWorld,
  Fate,
  findBrokenPromise,
  type ReportWorld,
  restoreRecords,
  windowMs,
} from "./usage_world.test.ts";

/** State of one scenario. */
interface UsageWorld {
  usageClock?: PausedClock;
  reports: ReportWorld;
  /** Calls that began, by window. */
  begun: Map<number, number>;
  refusedAt?: number;
  /** When the instance or the store was replaced, in ms since the start of 1970. */
  changedMs: number;
  /** Dates of machines as offsets to the true time, in ms. */
  offsets: number[];
  ownTime: AgreedTime;
  pause: Pause;
}

const stepMs = 100;
const roundMs = 500;
const dateSetBackMs = 3_600_000;
const deadline = { timeout: 60_000 };
const propertyRun = { seed: 48, numRuns: 150 };

After(function (this: UsageWorld): void {
  this.usageClock?.uninstall();
});

Given(
  "{int} instances that report windows of 5000 ms to an operator",
  function (
    this: UsageWorld,
    count: number,
  ): void {
    this.usageClock = pauseClock();
    this.begun = new Map();
    this.reports = createReportWorld(
      Array.from({ length: count }, (_, each) => `i${each}`),
    );
  },
);

/** Lets time pass: a call begins at each instance every 100 ms, and the first live one works each half second. */
async function passTime(world: UsageWorld, ms: number): Promise<void> {
  for (let passed = 0; passed < ms; passed += stepMs) {
    const alive = world.reports.instances.filter((each) => each.alive);
    const window = Math.floor(Date.now() / windowMs);
    for (const [index, { recorder }] of alive.entries()) {
      recorder.recordBegun(`w${index}`);
      world.begun.set(window, (world.begun.get(window) ?? 0) + 1);
    }
    if (passed % roundMs === 0) {
      const [first] = alive;
      void first?.collect().then(() => first.reporter.advance());
    }
    await world.usageClock?.tickAsync(stepMs);
  }
}

When("calls begin and {int} s pass", deadline, async function (
  this: UsageWorld,
  seconds: number,
): Promise<void> {
  await passTime(this, seconds * 1_000);
});

When("the instance that reports is killed", function (this: UsageWorld): void {
  const first = this.reports.instances.find(({ alive }) => alive);
  if (first) first.alive = false;
});

When(
  /^the (store of the reports is down|operator answers nothing) for (\d+) s while calls begin$/,
  deadline,
  async function (
    this: UsageWorld,
    what: string,
    seconds: string,
  ): Promise<void> {
    const call = what.startsWith("store") ? "append" : "send";
    const fate = call === "send" ? Fate.AnswerLost : Fate.Failed;
    this.reports.drawFate = (each) => each === call ? fate : Fate.Done;
    await passTime(this, Number(seconds) * 1_000);
    this.reports.drawFate = () => Fate.Done;
  },
);

When(
  "the instance that reports is replaced by one of its name at another address",
  function (this: UsageWorld): void {
    const first = this.reports.instances.find(({ alive }) => alive);
    if (!first) return;
    first.alive = false;
    const { instances } = this.reports;
    addInstance(this.reports, first.name, { address: "elsewhere" });
    // The instance whose name sorts first works.
    const added = instances.pop();
    if (added) instances.unshift(added);
    this.changedMs = Date.now();
  },
);

When(
  "the store of the reports comes back from a copy of its first {int} records",
  function (this: UsageWorld, kept: number): void {
    restoreRecords(this.reports, kept);
    this.changedMs = Date.now();
  },
);

Then(
  "no promise to the operator is broken, and both have reported",
  function (this: UsageWorld): void {
    const { received } = this.reports;
    assert.equal(findBrokenPromise(received), undefined);
    const later = received.filter(({ atMs }) => atMs > this.changedMs);
    const windows = new Set(received.map(({ window }) => window));
    assert.ok(later.length > 0 && received.length > later.length);
    assert.ok(windows.size >= 4, `${windows.size} windows`);
  },
);

When("the operator refuses the number of the next report", function (
  this: UsageWorld,
): void {
  this.refusedAt = this.reports.received.at(-1)?.fence ?? 0;
  this.reports.refused.add(this.refusedAt);
  this.reports.received.length = 0;
});

Then("no report came under the refused number after it", function (
  this: UsageWorld,
): void {
  assert.ok(this.reports.received.length > 0);
  const fences = this.reports.received.map(({ fence }) => fence);
  assert.ok(fences.every((fence) => fence > (this.refusedAt ?? 0)));
});

Then("the operator saw one number", function (this: UsageWorld): void {
  const fences = this.reports.received.map(({ fence }) => fence);
  assert.equal(new Set(fences).size, 1);
});

/** Checks that every window between the first report and some time before now was reported in time; returns reported and begun calls. */
function checkReports(
  { reports: { received }, begun }: UsageWorld,
  withinMs: number,
): { readonly reported: number; readonly begun: number } {
  assert.equal(findBrokenPromise(received), undefined);
  const first = received[0]?.window ?? Infinity;
  const last = Math.floor((Date.now() - withinMs) / windowMs) - 1;
  assert.ok(last >= first + 2, `windows ${first} to ${last}`);
  const sums = { reported: 0, begun: 0 };
  for (let window = first; window <= last; window++) {
    const report = received.find((each) => each.window === window);
    assert.ok(report, `window ${window} is not reported`);
    assert.ok(report.atMs - (window + 1) * windowMs <= withinMs);
    for (const count of Object.values(report.counts)) sums.reported += count;
    sums.begun += begun.get(window) ?? 0;
  }
  return sums;
}

Then(
  "every window is reported within {int} ms of its end, and each count is true",
  function (this: UsageWorld, withinMs: number): void {
    const { reported, begun } = checkReports(this, withinMs);
    assert.equal(reported, begun);
  },
);

Then(
  "every window is reported within {int} ms of its end, and at most 1 in {int} calls is missing",
  function (this: UsageWorld, withinMs: number, share: number): void {
    const { reported, begun } = checkReports(this, withinMs);
    assert.ok(reported <= begun && reported >= begun * (1 - 1 / share));
  },
);

Given(
  "the dates of 5 instances, one of them 300 s ahead and one 70 ms behind",
  function (this: UsageWorld): void {
    this.usageClock = pauseClock();
    this.offsets = [0, 300_000, 10, -70, 20];
  },
);

When("the date of one more is set back by an hour", function (
  this: UsageWorld,
): void {
  this.offsets[0] = -dateSetBackMs;
});

Then(
  "each instance's agreed time is within {int} ms of the true time",
  function (this: UsageWorld, withinMs: number): void {
    const trueMs = Date.now();
    for (const own of this.offsets.keys()) {
      const time: AgreedTime = createAgreedTime();
      this.usageClock?.setSystemTime(trueMs + (this.offsets[own] ?? 0));
      for (const [peer, offsetMs] of this.offsets.entries()) {
        if (peer === own) continue;
        time.recordPeer(`i${peer}`, {
          dateMs: trueMs + offsetMs,
          sentMs: performance.now(),
        });
      }
      assert.ok(Math.abs(time.getMs() - trueMs) <= withinMs);
    }
    this.usageClock?.setSystemTime(trueMs);
  },
);

Given(
  "an instance whose date is {int} ms ahead of that of {int} others",
  function (this: UsageWorld, aheadMs: number, others: number): void {
    this.usageClock = pauseClock();
    this.ownTime = createAgreedTime();
    this.offsets = Array.from({ length: others }, () => -aheadMs);
  },
);

When("it hears them, and {int} s pass without news", async function (
  this: UsageWorld,
  seconds: number,
): Promise<void> {
  for (const [peer, offsetMs] of this.offsets.entries()) {
    const dateMs = Date.now() + offsetMs;
    this.ownTime.recordPeer(`i${peer}`, { dateMs, sentMs: performance.now() });
  }
  this.ownTime.getMs();
  await passQuietly(this, seconds);
});

/** Lets time pass in which calls are counted. */
async function passQuietly(world: UsageWorld, seconds: number): Promise<void> {
  for (let passed = 0; passed < seconds; passed++) {
    await world.usageClock?.tickAsync(1_000);
    world.ownTime.getMs();
  }
}

When("{int} s pass without news", async function (
  this: UsageWorld,
  seconds: number,
): Promise<void> {
  await passQuietly(this, seconds);
});

Then(
  /^its agreed time is off by at (most|least) (\d+) ms$/,
  function (this: UsageWorld, bound: string, ms: string): void {
    const trueMs = Date.now() + (this.offsets[0] ?? 0);
    const offMs = Math.abs(this.ownTime.getMs() - trueMs);
    assert.ok(bound === "most" ? offMs <= Number(ms) : offMs >= Number(ms));
  },
);

Given(
  "an operator that {int} calls got no answer of, and that refused {int} before",
  function (this: UsageWorld, silent: number, refused: number): void {
    this.usageClock = pauseClock();
    this.pause = createPause();
    for (let each = 0; each < refused; each++) this.pause.recordFailure();
    for (let each = 0; each < silent; each++) this.pause.recordSilence();
  },
);

When("a minute passes", function (this: UsageWorld): void {
  this.usageClock?.tick(60_000);
});

Then("{int} calls without an answer are counted", function (
  this: UsageWorld,
  count: number,
): void {
  assert.equal(this.pause.countSilences(), count);
});

/** One step of a random order. */
interface RandomStep {
  readonly instance: number;
  readonly fates: readonly Fate[];
  readonly restarts: boolean;
  /** Whether it begins anew at another address. */
  readonly moves: boolean;
  /** Records that the store loses; none where undefined. */
  readonly restores: number | undefined;
  readonly passMs: number;
}

const names = ["a", "b", "c"];

async function runRandom(
  clock: PausedClock,
  steps: readonly RandomStep[],
): Promise<string | undefined> {
  const world = createReportWorld(names);
  world.lateMs = 4_000;
  let moves = 0;
  for (const step of steps) {
    const { instance, fates, restarts, passMs } = step;
    const each = world.instances.findLast(({ name }) =>
      name === names[instance]
    );
    let drawn = 0;
    world.drawFate = () => fates[drawn++ % fates.length] ?? Fate.Done;
    // Each instance has counted otherwise, as some answers were lost.
    each?.recorder.recordBegun(`w${instance}`);
    const name = names[instance] ?? "";
    if (step.moves) moves += 1;
    if (restarts) addInstance(world, name, { address: `${name} ${moves}` });
    if (step.restores !== undefined) {
      restoreRecords(world, world.records.length - step.restores);
    }
    void each?.reporter.advance();
    await clock.tickAsync(passMs);
  }
  await clock.tickAsync(10_000);
  return findBrokenPromise(world.received);
}

Then(
  "over random orders no window has two reports, no number goes down, no two holders share one, and holders take no turns within a lease",
  deadline,
  async function (this: UsageWorld): Promise<void> {
    const clock = pauseClock();
    this.usageClock = clock;
    const fate = fc.constantFrom(
      Fate.Done,
      Fate.Done,
      ...Object.values(Fate),
    );
    const step = fc.record({
      instance: fc.nat({ max: names.length - 1 }),
      fates: fc.array(fate, { minLength: 1, maxLength: 6 }),
      restarts: fc.boolean(),
      moves: fc.integer({ min: 0, max: 9 }).map((draw) => draw === 0),
      restores: fc.integer({ min: 0, max: 60 }).map((draw) =>
        draw < 4 ? draw : undefined
      ),
      passMs: fc.integer({ min: 0, max: 1_500 }),
    });
    await fc.assert(
      fc.asyncProperty(
        fc.array(step, { minLength: 20, maxLength: 120 }),
        async (steps) => {
          assert.equal(await runRandom(clock, steps), undefined);
        },
      ),
      propertyRun,
    );
  },
);
