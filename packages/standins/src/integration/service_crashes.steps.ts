/** Steps of `service_crashes.feature`. */
import { strict as assert } from "node:assert";
import { Given, Then, When } from "@cucumber/cucumber";
import { waitFor } from "@trefoildoor/core";
import type { Fleet } from "../fleet/index.ts";
import { CallEnd, type CallResult, createCaller } from "../load/index.ts";
import {
  describeTarget,
  type FleetWorld,
  stepTimeoutMs,
} from "./fleet_world.ts";

/** State of one scenario. */
interface CrashingWorld extends FleetWorld {
  serviceCrashes: number;
  bookingKeys: number;
  results: CallResult[];
}

const timeout = { timeout: stepTimeoutMs };

function getFleet({ standinFleet }: CrashingWorld): Fleet {
  assert.ok(standinFleet);
  return standinFleet;
}

/** Books an item under a new key at one daemon. */
async function callBooking(
  world: CrashingWorld,
  { entry, item }: { readonly entry: string; readonly item: string },
): Promise<CallResult> {
  const { service, apiKeys } = describeTarget(getFleet(world));
  const caller = createCaller({
    rankEntries: () => [entry],
    keep: () => Promise.resolve(),
  });
  world.bookingKeys += 1;
  const key = `crashing-${world.bookingKeys}`;
  const apiKey = apiKeys[0] ?? "";
  const result = await caller.book({ apiKey, service, key, item });
  await caller.close();
  return result;
}

function listAddresses(world: CrashingWorld): readonly string[] {
  return getFleet(world).listInstances().map(({ callerAddress }) =>
    callerAddress
  );
}

Given(
  "services crash under bookings of {string} and are back after {int} ms",
  function (this: CrashingWorld, item: string, ms: number): void {
    this.serviceCrashes = 0;
    this.bookingKeys = 0;
    this.results = [];
    for (const { standin } of getFleet(this).services) {
      standin.onRun(({ body }) => {
        if (!JSON.stringify(body).includes(item)) return;
        this.serviceCrashes += 1;
        void standin.crash().then(() => waitFor(ms)).then(standin.restart);
      });
    }
  },
);

When(
  /^(\d+) (bookings|different bookings) of "(.*)" (?:with new keys )?come (\d+) ms apart, to each daemon in turn$/,
  timeout,
  async function (
    this: CrashingWorld,
    count: string,
    kind: string,
    item: string,
    ms: string,
  ): Promise<void> {
    const entries = listAddresses(this);
    for (let index = 0; index < Number(count); index++) {
      const entry = entries[index % entries.length] ?? "";
      const suffix = kind === "bookings" ? "" : ` ${index}`;
      this.results.push(
        await callBooking(this, { entry, item: item + suffix }),
      );
      await waitFor(Number(ms));
    }
  },
);

Then(
  "no booking was refused with the reason {string}",
  function (this: CrashingWorld, reason: string): void {
    assert.ok(this.results.every(({ detail }) => detail !== reason));
  },
);

Then(
  "{int} services have crashed at least and {int} at most",
  function (this: CrashingWorld, least: number, most: number): void {
    const { serviceCrashes } = this;
    assert.ok(
      serviceCrashes >= least && serviceCrashes <= most,
      `${serviceCrashes} crashes`,
    );
  },
);

Then(
  "the last booking of {string} at each daemon is refused as not run with the reason {string}",
  function (this: CrashingWorld, _item: string, reason: string): void {
    const last = this.results.slice(-listAddresses(this).length);
    const expected = last.map(() => ({ end: CallEnd.NotRun, detail: reason }));
    assert.deepEqual(
      last.map(({ end, detail }) => ({ end, detail })),
      expected,
    );
  },
);

Then(
  "a booking of {string} is done at each daemon",
  timeout,
  async function (this: CrashingWorld, item: string): Promise<void> {
    for (const entry of listAddresses(this)) {
      const { end, detail } = await callBooking(this, { entry, item });
      assert.equal(end, CallEnd.Done, detail);
    }
  },
);
