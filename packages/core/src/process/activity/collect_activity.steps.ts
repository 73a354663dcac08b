/** Steps of `collect_activity.feature`. */
import { strict as assert } from "node:assert";
import { After, Given, Then, When } from "@cucumber/cucumber";
import { pauseClock, type PausedClock } from "@trefoildoor/testing";
import {
  type ActivityCollector,
  type ActivityReport,
  createActivityCollector,
} from "./index.ts";

/** State of one scenario. */
interface CollectWorld {
  collectClock?: PausedClock;
  collector: ActivityCollector;
  names: readonly string[];
  silent: Set<string>;
  perSecond: number;
  missing?: number;
  /** Calls that were added up in each second. */
  seconds: number[];
}

const service = "models";
const secondMs = 1_000;

After(function (this: CollectWorld): void {
  this.collectClock?.uninstall();
});

Given(
  "instances that are offered {int} calls a second each, {string}",
  function (this: CollectWorld, perSecond: number, names: string): void {
    this.collectClock = pauseClock();
    this.collector = createActivityCollector();
    this.names = names.split(" ");
    this.silent = new Set();
    this.perSecond = perSecond;
    this.seconds = [];
  },
);

Given(
  "each call lacks {int} tokens, and nobody counts squares",
  function (this: CollectWorld, tokens: number): void {
    this.missing = tokens;
  },
);

function buildReport({ perSecond, missing }: CollectWorld): ActivityReport {
  const calls = performance.now() / secondMs * perSecond;
  const work = {
    calls,
    refused: 0,
    promptTokens: 0,
    missingTokens: calls * (missing ?? 0),
    outputTokens: 0,
    ...(missing === undefined && { missingSquares: 0 }),
  };
  return {
    start: "first",
    windows: [],
    offered: { [service]: work },
  } as unknown as ActivityReport;
}

async function collectEachSecond(
  world: CollectWorld,
  seconds: number,
): Promise<void> {
  for (let each = 0; each < seconds; each++) {
    const before = world.collector.getOffered(service).calls;
    await world.collector.collect(world.names.map((name) => ({
      name,
      fetch: () =>
        world.silent.has(name)
          ? Promise.reject(new Error("no answer"))
          : Promise.resolve(buildReport(world)),
    })));
    world.seconds.push(world.collector.getOffered(service).calls - before);
    world.collectClock?.tick(secondMs);
  }
}

When("they are asked each second for {int} s", async function (
  this: CollectWorld,
  seconds: number,
): Promise<void> {
  this.silent.clear();
  await collectEachSecond(this, seconds);
});

When("{string} is not heard for {int} s", async function (
  this: CollectWorld,
  name: string,
  seconds: number,
): Promise<void> {
  this.silent.add(name);
  await collectEachSecond(this, seconds);
});

Then("no second had more than {int} calls", function (
  this: CollectWorld,
  most: number,
): void {
  assert.ok(Math.max(...this.seconds) <= most, this.seconds.join(" "));
});

Then("the last second had {int} calls", function (
  this: CollectWorld,
  calls: number,
): void {
  assert.equal(Math.round(this.seconds.at(-1) ?? 0), calls);
});

Then("a missing token is expected in a prompt of {int} tokens", function (
  this: CollectWorld,
  tokens: number,
): void {
  const work = this.collector.getOffered(service);
  assert.equal(Math.round(work.missingSquares / work.missingTokens), tokens);
});
