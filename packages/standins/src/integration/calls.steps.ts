/** Steps of `calls.feature` with real instances. */
import { strict as assert } from "node:assert";
import { After, type DataTable, Given, Then, When } from "@cucumber/cucumber";
import { RecordKind, StreamName } from "@trefoildoor/core";
import { waitUntil } from "@trefoildoor/testing";
import type { FleetInstance } from "../fleet/index.ts";
import { Direction } from "../relay/index.ts";
import { Outage } from "../shared/index.ts";
import {
  checkBookings,
  countDeskRuns,
  faultStepTimeoutMs,
  type FaultWorld,
  getFleet,
  getInstance,
  onRecord,
  sendBooking,
  startFaultFleet,
} from "./fault_world.ts";
import { closeChecked } from "./close_checked.ts";

const timeout = { timeout: faultStepTimeoutMs };
const callsPath = "/streams/calls/entries";
/** How long a booking without a result is repeated before it stays unknown, in ms. */
const repeatForMs = 3_000;

Given(
  /^instances "([^"]*)" before a booking desk$/,
  timeout,
  async function (this: FaultWorld, names: string): Promise<void> {
    await startFaultFleet(this, { names: names.split(", ") });
  },
);

When(
  /^"(\w+)" is (killed|suspended) during booking "(\w+)" when (.*)$/,
  timeout,
  async function (
    this: FaultWorld,
    name: string,
    how: string,
    key: string,
    step: string,
  ): Promise<void> {
    const instance = getInstance(this, name);
    const hit = (): void => {
      if (how === "suspended") instance.pause();
      else void instance.kill();
    };
    const armed = waitForStep(this, instance, { step, hit });
    const told = sendBooking(this, instance, { key });
    await armed;
    if (how === "killed") {
      await told;
      await getFleet(this).killInstance(instance);
    }
    clearFaults(this);
  },
);

When(
  "{string} goes on after {int} s",
  timeout,
  async function (
    this: FaultWorld,
    name: string,
    seconds: number,
  ): Promise<void> {
    await passTime(seconds);
    getInstance(this, name).resume();
  },
);

When(
  "booking {string} is sent to {string}",
  timeout,
  async function (this: FaultWorld, key: string, name: string): Promise<void> {
    await sendBooking(this, getInstance(this, name), { key });
  },
);

When(
  "booking {string} is repeated at {string} until it is decided",
  timeout,
  async function (this: FaultWorld, key: string, name: string): Promise<void> {
    const instance = getInstance(this, name);
    const endMs = performance.now() + repeatForMs;
    for (;;) {
      const { outcome } = await sendBooking(this, instance, { key });
      if (outcome === "done" || performance.now() > endMs) return;
      // Only the last of the repeats is kept.
      this.told.pop();
      await passTime(0.3);
    }
  },
);

When("the log loses {int} answers to the next appends", function (
  this: FaultWorld,
  count: number,
): void {
  const { faults } = getFleet(this).log;
  faults.matches = (method) => method === "POST";
  faults.loseAnswers = count;
});

When("the log of the fleet is down", function (this: FaultWorld): void {
  getFleet(this).log.faults.matches = () => true;
  getFleet(this).log.faults.outage = Outage.Refuse;
});

When("the log of the fleet is up again", function (this: FaultWorld): void {
  clearFaults(this);
});

When(
  "{int} s pass in the fleet",
  timeout,
  async function (this: FaultWorld, seconds: number): Promise<void> {
    await passTime(seconds);
  },
);

When("the desks do not answer on open connections", function (
  this: FaultWorld,
): void {
  for (const { relay } of getFleet(this).services) relay.halfOpenAll();
});

When("the desks' answers are lost", function (this: FaultWorld): void {
  for (const { standin } of getFleet(this).services) {
    standin.faults.matches = (method) => method === "POST";
    standin.faults.loseAnswers = 1;
  }
});

When("the desks answer again", function (this: FaultWorld): void {
  clearFaults(this);
});

When("{string} is cut off from the log", function (
  this: FaultWorld,
  name: string,
): void {
  getInstance(this, name).logRelay.setFaults({ blackhole: true }, {
    direction: Direction.FromTarget,
  });
});

Then(
  "the desk ran booking {string} {int} times and its caller was told {string}",
  function (
    this: FaultWorld,
    key: string,
    runs: number,
    outcome: string,
  ): void {
    assert.equal(countDeskRuns(getFleet(this), key), runs);
    assert.equal(this.told.at(-1)?.outcome, outcome);
    checkBookings(this);
  },
);

Then("callers were told", function (this: FaultWorld, table: DataTable): void {
  const told = table.hashes().map(({ booking }) => ({
    booking,
    outcomes: this.told.filter(({ key }) => key === booking)
      .map(({ outcome }) => outcome).join(", "),
  }));
  assert.deepEqual(told, table.hashes());
});

Then(
  "each booking ran at most once and as its caller was told",
  function (this: FaultWorld): void {
    checkBookings(this);
  },
);

Then(
  "nobody was told of a booking that had run that it was not run",
  function (this: FaultWorld): void {
    const wrong = this.told.filter(({ outcome, runs }) =>
      outcome === "not_run" && runs > 0
    );
    assert.deepEqual(wrong, []);
  },
);

After(timeout, async function (this: Partial<FaultWorld>): Promise<void> {
  for (const instance of this.faultInstances?.values() ?? []) {
    if (instance.isRunning()) instance.resume();
  }
  if (this.faultFleet) await closeChecked(this.faultFleet);
});

/** Resolves once the step was seen and the instance was hit. */
function waitForStep(
  world: FaultWorld,
  instance: FleetInstance,
  options: { readonly step: string; readonly hit: () => void },
): Promise<void> {
  const { log, services } = getFleet(world);
  return new Promise((resolve) => {
    const run = (): void => {
      options.hit();
      resolve();
    };
    const hangAppend = (which: number): void => {
      let appends = 0;
      log.faults.outage = Outage.Hang;
      log.faults.matches = (method, path) => {
        if (method !== "POST" || path !== callsPath) return false;
        if (++appends !== which) return false;
        run();
        return true;
      };
    };
    const fleet = getFleet(world);
    const stream = StreamName.Calls;
    switch (options.step) {
      case "its intent arrives at the log":
        return hangAppend(1);
      case "its intent is in the log":
        return onRecord(fleet, instance, {
          kind: RecordKind.CallIntent,
          stream,
          run,
        });
      case "its call arrives at the desk":
        for (const { standin } of services) {
          standin.faults.matches = (method) => {
            if (method === "POST") run();
            return false;
          };
        }
        return;
      case "the desk has run its call":
        for (const { standin } of services) standin.onRun(run);
        return;
      case "its result arrives at the log":
        return hangAppend(2);
      case "its result is in the log":
        return onRecord(fleet, instance, {
          kind: RecordKind.CallSettled,
          stream,
          run,
        });
      default:
        throw new Error(`no step "${options.step}"`);
    }
  });
}

function clearFaults(world: FaultWorld): void {
  const { log, services } = getFleet(world);
  const standins = services.map(({ standin }) => standin);
  for (const { faults } of [log, ...standins]) {
    faults.outage = Outage.None;
    faults.loseAnswers = 0;
    faults.matches = () => true;
  }
}

async function passTime(seconds: number): Promise<void> {
  const endMs = performance.now() + seconds * 1_000;
  await waitUntil("time passes", () => performance.now() >= endMs);
}
