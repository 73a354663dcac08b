/** Steps of `streams.feature`. */
import { strict as assert } from "node:assert";
import { Given, Then, When } from "@cucumber/cucumber";
import { waitFor } from "@trefoildoor/core";
import { waitUntil } from "@trefoildoor/testing";
import {
  type CallResult,
  createBalancer,
  createCaller,
} from "../load/index.ts";
import { Scope } from "../relay/index.ts";
import { createRandom } from "../shared/index.ts";
import {
  describeTarget,
  type FleetWorld,
  stepTimeoutMs,
} from "./fleet_world.ts";

/** State of one scenario. */
interface StreamWorld extends FleetWorld {
  streamResults: readonly CallResult[];
}

const timeout = { timeout: stepTimeoutMs };
const cutIntervalMs = 100;

/** Sends streams to all instances at once and waits for their ends. */
export async function callStreams(
  world: FleetWorld,
  options: { readonly count: number; readonly maxTokens: number },
): Promise<readonly CallResult[]> {
  const fleet = world.standinFleet;
  if (!fleet) throw new Error("no fleet");
  const target = describeTarget(fleet);
  const random = createRandom(options.count);
  const stop = new AbortController();
  const balancer = createBalancer({ listEntries: target.listEntries, random });
  void balancer.keep(stop.signal);
  await waitUntil(
    "all instances are ready",
    () => balancer.rankEntries().length === target.listEntries().length,
  );
  const caller = createCaller(balancer);
  const calls = Array.from(
    { length: options.count },
    (_, index) =>
      caller.complete({
        apiKey: target.apiKeys[index % target.apiKeys.length] ?? "",
        model: target.model,
        prompt: `stream ${index} of ${options.count} asks for a draft`,
        maxTokens: options.maxTokens,
      }),
  );
  const results = await Promise.all(calls);
  stop.abort();
  await caller.close();
  return results;
}

/** Waits until the engines run as many streams as there are. */
function waitForStreams(world: StreamWorld, count: number): Promise<void> {
  return waitUntil("the streams run", () => {
    const generations = world.standinFleet?.engines.flatMap(({ standin }) =>
      standin.listGenerations()
    ) ?? [];
    return generations.filter(({ tokens }) =>
      tokens > 0
    ).length >= count;
  });
}

Given(
  "links to engines are delayed by {int} ms with {int} ms of jitter",
  function (this: StreamWorld, delayMs: number, jitterMs: number): void {
    for (const { relay } of this.standinFleet?.engines ?? []) {
      relay.setFaults({ delayMs, jitterMs });
    }
  },
);

When(
  "{int} streams of {int} tokens run at once while links to engines are cut {int} times with seed {int}",
  timeout,
  async function (
    this: StreamWorld,
    count: number,
    maxTokens: number,
    cuts: number,
    seed: number,
  ): Promise<void> {
    const random = createRandom(seed);
    const results = callStreams(this, { count, maxTokens });
    await waitForStreams(this, count / 2);
    const engines = this.standinFleet?.engines ?? [];
    for (let cut = 0; cut < cuts; cut++) {
      engines[Math.floor(random() * engines.length)]?.relay.cutAll();
      await waitFor(cutIntervalMs);
    }
    this.streamResults = await results;
  },
);

When(
  "{int} streams of {int} tokens run at once while every open connection to an engine falls silent",
  timeout,
  async function (
    this: StreamWorld,
    count: number,
    maxTokens: number,
  ): Promise<void> {
    const results = callStreams(this, { count, maxTokens });
    await waitForStreams(this, count);
    for (const { relay } of this.standinFleet?.engines ?? []) {
      relay.setFaults({ blackhole: true }, { scope: Scope.Open });
    }
    this.streamResults = await results;
  },
);

Then(
  "each stream got its own whole answer in order",
  function (this: StreamWorld): void {
    const ends = this.streamResults.map(({ end, detail }) =>
      `${end} ${detail}`.trim()
    );
    assert.deepEqual([...new Set(ends)], ["done"]);
  },
);

Then(
  "requests after the silence are answered whole",
  timeout,
  async function (this: StreamWorld): Promise<void> {
    const results = await callStreams(this, { count: 20, maxTokens: 10 });
    assert.deepEqual([...new Set(results.map(({ end }) => end))], ["done"]);
  },
);
