/** Steps of `backlogs.feature`. */
import { strict as assert } from "node:assert";
import { After, Before, Given, Then, When } from "@cucumber/cucumber";
import { pauseClock, type PausedClock } from "@trefoildoor/testing";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { type Backlogs, createBacklogs, type OpenBacklog } from "./index.ts";

/** State of one scenario. */
interface BacklogsWorld {
  backlogsClock?: PausedClock;
  backlogs: Backlogs;
  prompt?: OpenBacklog;
  /** Time for which the instance did not get on, in ms. */
  gapMs: number;
  shape: FleetShape;
  /** Share of the prompts that were late, by what their instances knew. */
  late: Record<Knowledge, number>;
}

interface FleetShape {
  readonly instances: number;
  readonly use: number;
}

/** What an instance knows of the engines' queues. */
enum Knowledge {
  /** What others have placed, some ms later. */
  Told = "told",
  /** Queues as they were at the last report. */
  Reported = "reported",
}

const engines = Array.from({ length: 10 }, (_each, index) => `p${index}`);
const shortestMs = 20;
const longestMs = 500;
const goalMs = 600;
const reportAgeMs = 450;
const stepMs = 5;
const seed = 31;

Before(function (this: BacklogsWorld): void {
  this.gapMs = 0;
  this.backlogs = createBacklogs({
    clock: { getMs: () => performance.now() - this.gapMs },
  });
});

After(function (this: BacklogsWorld): void {
  this.backlogsClock?.uninstall();
});

function pauseBacklogs(world: BacklogsWorld): void {
  world.backlogsClock ??= pauseClock();
}

Given("engine {string} gets a prompt of {int} ms", function (
  this: BacklogsWorld,
  engine: string,
  ms: number,
): void {
  pauseBacklogs(this);
  this.prompt = this.backlogs.open(engine, { ms, yields: false });
});

Given("engine {string} gets a late prompt of {int} ms", function (
  this: BacklogsWorld,
  engine: string,
  ms: number,
): void {
  pauseBacklogs(this);
  this.prompt = this.backlogs.open(engine, { ms, yields: true });
});

When("the instance with the backlogs does not get on for {int} ms", function (
  this: BacklogsWorld,
  ms: number,
): void {
  pauseBacklogs(this);
  this.gapMs += ms;
  this.backlogsClock?.tick(ms);
});

Given("a peer gives {string} a prompt of {int} ms", function (
  this: BacklogsWorld,
  engine: string,
  ms: number,
): void {
  pauseBacklogs(this);
  this.backlogs.applyPlacements({ [engine]: ms });
});

When("{int} ms pass for the backlogs", function (
  this: BacklogsWorld,
  ms: number,
): void {
  this.backlogsClock?.tick(ms);
});

When("the prompt is computed", function (this: BacklogsWorld): void {
  this.prompt?.finish();
});

When("the prompt is withdrawn", function (this: BacklogsWorld): void {
  this.prompt?.cancel();
});

When("engine {string} ends for the backlogs", function (
  this: BacklogsWorld,
  engine: string,
): void {
  this.backlogs.forget(engine);
});

Then("{string} is busy for {int} ms", function (
  this: BacklogsWorld,
  engine: string,
  ms: number,
): void {
  assert.equal(this.backlogs.getMs(engine), ms);
});

Given(
  /^(\d+) instances and 10 engines that compute prompts of 20 to 500 ms for ([\d.]+) of the time$/,
  function (this: BacklogsWorld, instances: string, use: string): void {
    this.shape = { instances: Number(instances), use: Number(use) };
  },
);

When(
  "they place prompts for {int} s within {int} ms of what others have placed",
  { timeout: 60_000 },
  function (this: BacklogsWorld, seconds: number, toldMs: number): void {
    pauseBacklogs(this);
    const run = (knowledge: Knowledge): number =>
      placePrompts(this, { knowledge, ms: seconds * 1_000, toldMs });
    this.late = {
      [Knowledge.Told]: run(Knowledge.Told),
      [Knowledge.Reported]: run(Knowledge.Reported),
    };
  },
);

/** Lets prompts come one after the other at random times; returns the share that took longer than the goal. */
function placePrompts(
  { backlogsClock, shape }: BacklogsWorld,
  { knowledge, ms, toldMs }: {
    readonly knowledge: Knowledge;
    readonly ms: number;
    readonly toldMs: number;
  },
): number {
  assert.ok(backlogsClock);
  const generator = xoroshiro128plus(seed);
  const random = (): number => uniformFloat64(generator);
  const instances = Array.from(
    { length: shape.instances },
    () => createBacklogs(),
  );
  const idleAtMs = new Map(engines.map((engine) => [engine, 0]));
  const messages: { readonly atMs: number; readonly apply: () => void }[] = [];
  let reported: ReadonlyMap<string, number> = new Map();
  let reportedMs = -Infinity;
  const perStep = engines.length * shape.use * stepMs /
    ((shortestMs + longestMs) / 2);
  let prompts = 0;
  let late = 0;
  const endMs = performance.now() + ms;
  while (performance.now() < endMs) {
    const nowMs = performance.now();
    while (messages[0] && messages[0].atMs <= nowMs) messages.shift()?.apply();
    const queues = new Map(
      engines.map((engine) => [
        engine,
        Math.max((idleAtMs.get(engine) ?? 0) - nowMs, 0),
      ]),
    );
    if (nowMs - reportedMs >= reportAgeMs) {
      reported = queues;
      reportedMs = nowMs;
    }
    if (random() < perStep) {
      const index = Math.floor(random() * instances.length);
      const own = instances[index];
      assert.ok(own);
      const known = (engine: string): number => {
        if (knowledge === Knowledge.Told) return own.getMs(engine);
        return reported.get(engine) ?? 0;
      };
      const promptMs = shortestMs + random() * (longestMs - shortestMs);
      const engine = pickIdlest(known, random);
      const doneMs = (queues.get(engine) ?? 0) + promptMs;
      idleAtMs.set(engine, nowMs + doneMs);
      prompts += 1;
      if (doneMs > goalMs) late += 1;
      const open = own.open(engine, { ms: promptMs, yields: false });
      messages.push({
        atMs: nowMs + toldMs,
        apply: () => {
          for (const each of instances) {
            if (each !== own) each.applyPlacements({ [engine]: promptMs });
          }
        },
      });
      setTimeout(open.finish, doneMs);
    }
    backlogsClock.tick(stepMs);
  }
  return late / prompts;
}

/** The engine with the shortest known queue, one of them at random where several have it. */
function pickIdlest(
  getMs: (engine: string) => number,
  random: () => number,
): string {
  const from = Math.floor(random() * engines.length);
  const turned = [...engines.slice(from), ...engines.slice(0, from)];
  return turned.reduce((best, engine) =>
    getMs(engine) < getMs(best) ? engine : best
  );
}

Then(
  "at most a tenth of those are late that are late by reports of {int} ms ago",
  function (this: BacklogsWorld, ms: number): void {
    assert.equal(ms, reportAgeMs);
    const { told, reported } = this.late;
    assert.ok(told <= reported / 10, JSON.stringify(this.late));
  },
);
