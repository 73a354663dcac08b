/** Steps that start fleets and judge the load on them. */
import { strict as assert } from "node:assert";
import { After, Given, Then } from "@cucumber/cucumber";
import { ExampleFleet } from "@trefoildoor/core";
import { waitUntil } from "@trefoildoor/testing";
import { startFleet } from "../fleet/index.ts";
import { CallEnd } from "../load/index.ts";
import {
  type FleetWorld,
  quickFleet,
  startBackgroundLoad,
  stepTimeoutMs,
} from "./fleet_world.ts";
import { closeChecked } from "./close_checked.ts";

const timeout = { timeout: stepTimeoutMs };
const shares: Readonly<Record<string, number>> = { fifth: 0.2, half: 0.5 };

Given(
  "a quick fleet of the association with {int} instances",
  timeout,
  async function (this: FleetWorld, instances: number): Promise<void> {
    this.standinFleet = await startFleet({
      ...quickFleet,
      fleet: ExampleFleet.Association,
      instances,
      settings: { "stop": { "notice_ms": 1_000 } },
    });
  },
);

Given(
  /^a load of (\d+) requests a second with a (fifth|half) of bookings and seed (\d+)$/,
  timeout,
  async function (
    this: FleetWorld,
    rate: string,
    share: string,
    seed: string,
  ): Promise<void> {
    const fleet = this.standinFleet;
    if (!fleet) throw new Error("no fleet");
    this.standinLoad = startBackgroundLoad(fleet, {
      seed: Number(seed),
      requestsPerSecond: Number(rate),
      bookingShare: shares[share] ?? 0,
    });
    await waitUntil(
      "the load is answered",
      () => (this.standinLoad?.countAnswers() ?? 0) >= Number(rate),
    );
  },
);

Then(
  "every request of the load was answered whole",
  timeout,
  async function (this: FleetWorld): Promise<void> {
    const report = await this.standinLoad?.finish();
    assert.ok(report);
    assert.deepEqual(report.details, {});
    assert.equal(report.ends[CallEnd.Done], report.requests);
  },
);

Then(
  "no booking ran twice and each one that was done ran",
  timeout,
  async function (this: FleetWorld): Promise<void> {
    const report = await this.standinLoad?.finish();
    assert.ok(report && this.standinFleet);
    const runs = new Map<string, number>();
    for (const { standin } of this.standinFleet.services) {
      for (const { key = "" } of standin.listRuns()) {
        runs.set(key, (runs.get(key) ?? 0) + 1);
      }
    }
    for (const [key, end] of report.bookings) {
      // Services see keys that the instances made unique to the caller.
      const matching = [...runs].filter(([seen]) => seen.endsWith(`/${key}`));
      const count = matching.reduce((sum, [, each]) => sum + each, 0);
      assert.ok(count <= 1, `${key} ran ${count} times`);
      if (end === CallEnd.Done) assert.equal(count, 1, `${key} did not run`);
      if (end === CallEnd.NotRun) assert.equal(count, 0, `${key} ran`);
    }
  },
);

After(timeout, async function (this: Partial<FleetWorld>): Promise<void> {
  if (this.standinFleet) await closeChecked(this.standinFleet);
  await this.standinLoad?.finish();
});
