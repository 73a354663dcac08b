/** Steps of `endpoint_needs.feature`. */
import { strict as assert } from "node:assert";
import { Given, Then, When } from "@cucumber/cucumber";
import { waitFor } from "@trefoildoor/core";
import { waitUntil } from "@trefoildoor/testing";
import type { Fleet } from "../fleet/index.ts";
import {
  CallEnd,
  type LoadReportSummary,
  MixName,
  runLoad,
} from "../load/index.ts";
import {
  describeTarget,
  type FleetWorld,
  stepTimeoutMs,
} from "./fleet_world.ts";
import { callStreams } from "./streams.steps.ts";

/** Endpoint whose limit is checked. */
interface LimitedStandin {
  readonly name: string;
  readonly listArrivals: () => readonly number[];
}

/** State of one scenario. */
interface NeedsWorld extends FleetWorld {
  limited: LimitedStandin[];
  perSecond: number;
  namedMs: number;
  summary: LoadReportSummary;
  wholeStreams: number;
  streams: number;
}

const timeout = { timeout: stepTimeoutMs };
const msPerSecond = 1_000;
/** From this time on a window gets at most `allowedFactor` times the limit and `allowedMore` requests more. */
const boundAfterMs = 3_000;
const windowMs = 4_000;
const allowedFactor = 1.5;
const allowedMore = 5;
/** Time in which all instances have read the reports of engines, in ms. */
const reportsReadMs = 1_500;

function getFleet({ standinFleet }: NeedsWorld): Fleet {
  assert.ok(standinFleet);
  return standinFleet;
}

Given(
  /^(the first engine and the first service|all engines and services) name a limit of (\d+) requests a second$/,
  function (this: NeedsWorld, which: string, perSecond: string): void {
    const fleet = getFleet(this);
    const count = which.startsWith("all") ? Infinity : 1;
    const engines = fleet.engines.slice(0, count);
    const services = fleet.services.slice(0, count);
    this.perSecond = Number(perSecond);
    this.namedMs = performance.now();
    for (const { standin } of engines) standin.setLimit(this.perSecond);
    for (const { standin } of services) standin.setLimit(this.perSecond);
    this.limited = [
      ...engines.map(({ name, standin }) => ({
        name,
        listArrivals: () => standin.arrivals,
      })),
      ...services.map(({ name, standin }) => ({
        name,
        listArrivals: () => standin.listRuns().map(({ atMs }) => atMs),
      })),
    ];
  },
);

Given(
  "every other engine has another software version",
  async function (this: NeedsWorld): Promise<void> {
    for (const [index, { standin }] of getFleet(this).engines.entries()) {
      standin.setSoftwareVersion(index % 2 === 0 ? "v1" : "v2");
    }
    await waitFor(reportsReadMs);
  },
);

When(
  "a load of {int} requests a second runs for {int} s",
  timeout,
  async function (
    this: NeedsWorld,
    requestsPerSecond: number,
    seconds: number,
  ): Promise<void> {
    this.summary = await runLoad({
      seed: 25,
      requestsPerSecond,
      bookingShare: 0.5,
      durationMs: seconds * msPerSecond,
      mix: MixName.Shifting,
      target: describeTarget(getFleet(this)),
    });
  },
);

When(
  "{int} streams of {int} tokens run at once while one engine of each version ends",
  timeout,
  async function (
    this: NeedsWorld,
    count: number,
    maxTokens: number,
  ): Promise<void> {
    const { engines } = getFleet(this);
    const running = callStreams(this, { count, maxTokens });
    await waitUntil(
      "the streams run",
      () =>
        engines.flatMap(({ standin }) => standin.listGenerations())
          .filter(({ tokens }) => tokens > 0).length >= count,
    );
    await Promise.all(
      engines.slice(0, 2).map(({ standin }) => standin.crash()),
    );
    const results = await running;
    this.streams = count;
    this.wholeStreams = results.filter(({ end }) => end === CallEnd.Done)
      .length;
  },
);

Then(
  /^(?:the first engine and the first service|all engines and services) get no more than the limit allows$/,
  function (this: NeedsWorld): void {
    const allowed = allowedFactor * this.perSecond * windowMs / msPerSecond +
      allowedMore;
    for (const { name, listArrivals } of this.limited) {
      const times = listCounted(this, listArrivals());
      const most = Math.max(
        0,
        ...times.map((start) =>
          times.filter((ms) => ms >= start && ms < start + windowMs).length
        ),
      );
      assert.ok(most <= allowed, `${name}: ${most} in 4 s, ${allowed} allowed`);
    }
  },
);

Then(
  "all engines and services together get at least {float} of the limit",
  function (this: NeedsWorld, share: number): void {
    const times = this.limited.flatMap(({ listArrivals }) =>
      listCounted(this, listArrivals())
    );
    const lastMs = Math.max(...times);
    const seconds = (lastMs - this.namedMs - boundAfterMs) / msPerSecond;
    const due = seconds * this.perSecond * this.limited.length;
    assert.ok(times.length >= due * share, `${times.length} of ${due}`);
  },
);

Then("the load was served elsewhere", function (this: NeedsWorld): void {
  const { requests, ends } = this.summary;
  const done = ends[CallEnd.Done];
  assert.ok(done >= requests * 0.9, `${done} of ${requests}`);
});

Then(
  "requests were refused with the reason {string}",
  function (this: NeedsWorld, reason: string): void {
    assert.ok(JSON.stringify(this.summary.details).includes(reason));
  },
);

Then(
  "no stream has tokens of two software versions",
  function (this: NeedsWorld): void {
    const versions = new Map<string, Set<number>>();
    for (const [index, { standin }] of getFleet(this).engines.entries()) {
      for (const { promptDigest, tokens } of standin.listGenerations()) {
        if (tokens === 0) continue;
        const known = versions.get(promptDigest) ?? new Set();
        versions.set(promptDigest, known.add(index % 2));
      }
    }
    const mixed = [...versions.values()].filter(({ size }) => size > 1);
    assert.equal(mixed.length, 0);
  },
);

Then(
  "at least half of the streams whose engine ended go on",
  function (this: NeedsWorld): void {
    assert.ok(
      this.wholeStreams * 2 >= this.streams,
      `${this.wholeStreams} of ${this.streams}`,
    );
  },
);

function listCounted(
  { namedMs }: NeedsWorld,
  times: readonly number[],
): readonly number[] {
  return times.filter((ms) => ms >= namedMs + boundAfterMs);
}
