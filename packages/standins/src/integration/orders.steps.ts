/** Steps of `orders.feature` with real instances. */
import { strict as assert } from "node:assert";
import process from "node:process";
import { Given, Then, When } from "@cucumber/cucumber";
import {
  FenceCheck,
  maxGroupRecords,
  RecordKind,
  StreamName,
} from "@trefoildoor/core";
import { waitUntil } from "@trefoildoor/testing";
import type { Fleet, FleetInstance } from "../fleet/index.ts";
import {
  buildNextBundle,
  buildSmallPools,
  faultStepTimeoutMs,
  type FaultWorld,
  getFleet,
  isWriter,
  listRecordsOf,
  parseRecords,
  startFaultFleet,
} from "./fault_world.ts";

/** State of one scenario, with the armed fault. */
interface OrderFaultWorld extends FaultWorld {
  newVersion: string;
}

const timeout = { timeout: faultStepTimeoutMs };
const leaseTimeMs = 1_500;
/** Time that a suspended holder sleeps: several leases. */
const sleepMs = 4 * leaseTimeMs;
const modelLoadMs = 2_000;

Given(
  /^three instances before one engine that (checks|ignores) numbers$/,
  timeout,
  async function (this: OrderFaultWorld, checks: string): Promise<void> {
    const fenceCheck = checks === "checks"
      ? FenceCheck.Checked
      : FenceCheck.Ignored;
    await startFaultFleet(this, {
      names: ["a", "b", "c"],
      engine: { fenceCheck, modelLoadMs },
      settings: { lease: { time_ms: leaseTimeMs } },
      editBundle: (bundle) =>
        buildSmallPools(bundle, { fenceCheck, engines: 1 }),
    });
  },
);

When(
  "a bundle with another model version is published",
  timeout,
  async function (this: OrderFaultWorld): Promise<void> {
    const fleet = getFleet(this);
    await waitUntil(
      "a lease is held",
      () =>
        listRecordsOf(fleet, StreamName.Control, {
          kind: RecordKind.LeaseRenewed,
        }).length > 0,
    );
    this.newVersion = "next";
    // The fault is armed by the next step, before the first round of the holder.
    fleet.publishBundle(buildNextBundle(fleet.bundle, this.newVersion));
  },
);

When(
  /^the holder is (killed|suspended|cut off) when its (drain is in the log|order is in the log|order is at the engine)$/,
  timeout,
  async function (
    this: OrderFaultWorld,
    how: string,
    step: string,
  ): Promise<void> {
    const fleet = getFleet(this);
    const holder = await waitForStep(fleet, step, {
      hit: (instance) => {
        if (how === "killed") process.kill(instance.pid, "SIGKILL");
        if (how === "suspended") instance.pause();
        if (how === "cut off") instance.logRelay.setFaults({ blackhole: true });
      },
    });
    if (how === "killed") await fleet.killInstance(holder);
    if (how === "suspended") {
      await passMs(sleepMs);
      holder.resume();
    }
  },
);

When(
  "the engine restarts within the change",
  timeout,
  async function (this: OrderFaultWorld): Promise<void> {
    const [engine] = getFleet(this).engines;
    await engine?.standin.crash();
    await engine?.standin.restart();
  },
);

Then(
  "the engine runs the new version and never had two changes at once",
  timeout,
  async function (this: OrderFaultWorld): Promise<void> {
    const fleet = getFleet(this);
    const engine = fleet.engines[0]?.standin;
    assert(engine);
    await waitUntil(
      "the engine runs the new version",
      () => engine.getTarget().models[0]?.version === this.newVersion,
    );
    await waitUntil("the last order is closed", () => isLastClosed(fleet));
    assert.deepEqual(engine.listConflicts(), []);
    const cut = engine.listOrders().reduce((sum, order) => sum + order.cut, 0);
    assert.equal(cut, 0, "requests were cut");
  },
);

/** Resolves to the instance that took a step, hit in the moment of the step. */
function waitForStep(
  fleet: Fleet,
  step: string,
  { hit }: { readonly hit: (instance: FleetInstance) => void },
): Promise<FleetInstance> {
  return new Promise((resolve) => {
    let isOver = false;
    const run = (writer: string | undefined): void => {
      const instance = fleet.listInstances().find((one) =>
        writer !== undefined && isWriter(writer, one)
      );
      if (!instance || isOver) return;
      isOver = true;
      hit(instance);
      resolve(instance);
    };
    if (step === "order is at the engine") {
      fleet.engines[0]?.standin.onOrder((order) => {
        if (!order.fenceOnly) run(findSender(fleet, order.fence));
      });
      return;
    }
    const kind = step === "drain is in the log"
      ? RecordKind.DrainOpened
      : RecordKind.OrderOpened;
    fleet.log.onAppend((stream, entry) => {
      if (stream !== StreamName.Control) return;
      const written = parseRecords(entry.payload).find(({ record }) =>
        record.kind === kind
      );
      run(written?.writer);
    });
  });
}

/** Writer of the order with a fencing number. */
function findSender(fleet: Fleet, fence: number): string | undefined {
  const offset = Math.floor(fence / maxGroupRecords);
  const entry = fleet.log.listEntries(StreamName.Control)[offset];
  return entry && parseRecords(entry.payload)[0]?.writer;
}

/** Whether the last record of an order in the log is its end. */
function isLastClosed(fleet: Fleet): boolean {
  const kinds = [RecordKind.OrderOpened, RecordKind.OrderClosed];
  const last = fleet.log.listEntries(StreamName.Control).flatMap((entry) =>
    parseRecords(entry.payload)
  ).findLast(({ record }) => kinds.includes(record.kind));
  return last?.record.kind === RecordKind.OrderClosed;
}

async function passMs(ms: number): Promise<void> {
  const endMs = performance.now() + ms;
  await waitUntil("time passes", () => performance.now() >= endMs);
}
