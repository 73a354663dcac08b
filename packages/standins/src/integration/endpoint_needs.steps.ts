/** Steps of `endpoint_needs.feature`. */
import { strict as assert } from "node:assert";
import { Given, Then, When } from "@cucumber/cucumber";
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
}

const timeout = { timeout: stepTimeoutMs };
const msPerSecond = 1_000;
/** From this time on a window gets at most `allowedFactor` times the limit and `allowedMore` requests more. */
const boundAfterMs = 3_000;
const windowMs = 4_000;
const allowedFactor = 1.5;
const allowedMore = 5;

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

function listCounted(
  { namedMs }: NeedsWorld,
  times: readonly number[],
): readonly number[] {
  return times.filter((ms) => ms >= namedMs + boundAfterMs);
}
