/** Steps of `rollout.feature` with real instances. */
import { strict as assert } from "node:assert";
import process from "node:process";
import { After, Given, Then, When } from "@cucumber/cucumber";
import { FenceCheck, RecordKind, StreamName } from "@trefoildoor/core";
import { waitUntil } from "@trefoildoor/testing";
import type { Fleet, FleetInstance } from "../fleet/index.ts";
import {
  CallEnd,
  type LoadReportSummary,
  MixName,
  runLoad,
} from "../load/index.ts";
import {
  buildNextBundle,
  buildSmallPools,
  faultStepTimeoutMs,
  type FaultWorld,
  getFleet,
  isWriter,
  parseRecords,
  startFaultFleet,
} from "./fault_world.ts";

/** State of one scenario. */
interface RolloutFaultWorld extends FaultWorld {
  rolloutLoad?: Promise<LoadReportSummary>;
  stopRolloutLoad?: AbortController;
}

const timeout = { timeout: faultStepTimeoutMs };
const engineCount = 3;
const leaseTimeMs = 1_500;
const longestLoadMs = 40_000;
const nextVersion = "next";

Given(
  "three instances before three engines under a load with seed {int}",
  timeout,
  async function (this: RolloutFaultWorld, seed: number): Promise<void> {
    const fleet = await startFaultFleet(this, {
      names: ["a", "b", "c"],
      engine: {
        modelLoadMs: 1_000,
        decodeStepMs: 5,
        prefillTokensPerSecond: 200_000,
      },
      settings: { lease: { time_ms: leaseTimeMs } },
      editBundle: (bundle) =>
        buildSmallPools(bundle, {
          fenceCheck: FenceCheck.Checked,
          engines: engineCount,
        }),
    });
    this.stopRolloutLoad = new AbortController();
    this.rolloutLoad = startLoad(fleet, {
      seed,
      signal: this.stopRolloutLoad.signal,
    });
  },
);

When(
  "the bundle with the next model version is rolled out",
  function (this: RolloutFaultWorld): void {
    const fleet = getFleet(this);
    fleet.publishBundle(buildNextBundle(fleet.bundle, nextVersion));
  },
);

When(
  "the conductor is killed when its first order has ended",
  timeout,
  async function (this: RolloutFaultWorld): Promise<void> {
    const conductor = await waitForOrderEnd(getFleet(this), (instance) => {
      process.kill(instance.pid, "SIGKILL");
    });
    await getFleet(this).killInstance(conductor);
  },
);

When(
  "the conductor is suspended for {int} s when its first order has ended",
  timeout,
  async function (this: RolloutFaultWorld, seconds: number): Promise<void> {
    const conductor = await waitForOrderEnd(getFleet(this), (instance) => {
      instance.pause();
    });
    const endMs = performance.now() + seconds * 1_000;
    await waitUntil("the pause is over", () => performance.now() >= endMs);
    conductor.resume();
  },
);

Then(
  "all three engines run it, one at a time, and cut no request",
  timeout,
  async function (this: RolloutFaultWorld): Promise<void> {
    const engines = getFleet(this).engines.slice(0, engineCount);
    await waitUntil(
      "all engines run the next version",
      () =>
        engines.every(({ standin }) =>
          standin.getTarget().models.every(({ version }) =>
            version === nextVersion
          )
        ),
      { deadlineMs: faultStepTimeoutMs - 10_000 },
    );
    const orders = engines.flatMap(({ standin }) => standin.listOrders())
      .filter((order) => !order.fenceOnly)
      .toSorted((left, right) => left.receivedMs - right.receivedMs);
    for (const [index, order] of orders.entries()) {
      const earlier = orders[index - 1];
      assert.equal(order.cut, 0, "an order cut requests");
      const isApart = !earlier || (earlier.endedMs ?? Infinity) <=
          order.receivedMs;
      assert(isApart, "two engines were away at a time");
    }
  },
);

Then(
  "every completion under the rollout was answered whole",
  timeout,
  async function (this: RolloutFaultWorld): Promise<void> {
    this.stopRolloutLoad?.abort();
    const report = await this.rolloutLoad;
    assert(report && report.requests > 0);
    assert.deepEqual(report.details, {});
    assert.equal(report.ends[CallEnd.Done], report.requests);
  },
);

After(
  timeout,
  async function (this: Partial<RolloutFaultWorld>): Promise<void> {
    this.stopRolloutLoad?.abort();
    await this.rolloutLoad?.catch(() => undefined);
  },
);

function startLoad(
  fleet: Fleet,
  options: { readonly seed: number; readonly signal: AbortSignal },
): Promise<LoadReportSummary> {
  const { pools, services, callers } = fleet.bundle;
  return runLoad({
    ...options,
    requestsPerSecond: 6,
    durationMs: longestLoadMs,
    mix: MixName.Shifting,
    bookingShare: 0,
    target: {
      listEntries: () =>
        fleet.listInstances().map(({ callerAddress }) => callerAddress),
      model: pools[0]?.models[0]?.model ?? "",
      service: services[0]?.name ?? "",
      apiKeys: callers.map(({ name }) => fleet.getKey(name)),
    },
  });
}

/** Resolves to the instance whose order ended first, hit in the moment of its record. */
function waitForOrderEnd(
  fleet: Fleet,
  hit: (instance: FleetInstance) => void,
): Promise<FleetInstance> {
  return new Promise((resolve) => {
    const stop = fleet.log.onAppend((stream, entry) => {
      if (stream !== StreamName.Control) return;
      const written = parseRecords(entry.payload).find(({ record }) =>
        record.kind === RecordKind.OrderClosed
      );
      const instance = written &&
        fleet.listInstances().find((one) => isWriter(written.writer, one));
      if (!instance) return;
      stop();
      hit(instance);
      resolve(instance);
    });
  });
}
