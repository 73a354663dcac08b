/** Steps of `orders.feature`. */
import { strict as assert } from "node:assert";
import { After, Given, Then, When } from "@cucumber/cucumber";
import { pauseClock, type PausedClock } from "@trefoildoor/testing";
import { FenceCheck, RecordKind } from "../../types/index.ts";
import {
  addRecord,
  flushMicrotasks,
  type PendingStep,
  StepFault,
} from "../../shared/remote_steps.test.ts";
import { describeOrders } from "./describe_orders.ts";
import { changeEngine } from "./change_engine.ts";
import {
  buildChange,
  createOrderWorld,
  type OrderInstance,
  type OrderWorldState,
} from "./order_world.test.ts";

/** State of one scenario. */
interface OrdersWorld {
  clock?: PausedClock;
  fleet: OrderWorldState;
  /** Instances whose orders are withheld from the engine. */
  paused: Set<string>;
  held: PendingStep[];
  ends: string[];
  matchSnapshot: (received: unknown) => void;
}

const tickMs = 250;

After(function (this: OrdersWorld): void {
  this.fleet?.stop();
  this.clock?.uninstall();
});

Given(
  /^an engine that (checks|ignores) numbers and instances "([^"]*)"$/,
  function (this: OrdersWorld, checks: string, names: string): void {
    this.clock = pauseClock();
    this.paused = new Set();
    this.held = [];
    this.ends = [];
    this.fleet = createOrderWorld(
      checks === "checks" ? FenceCheck.Checked : FenceCheck.Ignored,
    );
    for (const name of names.split(", ")) this.fleet.addInstance(name);
  },
);

Given(
  "a weight store that refuses {int} times",
  function (this: OrdersWorld, times: number): void {
    for (let time = 0; time < times; time++) this.fleet.grants.push(false);
  },
);

When(
  "{string} claims the pool",
  function (this: OrdersWorld, name: string): void {
    claimPool(this.fleet, findInstance(this.fleet, name));
  },
);

When(
  /^"(\w+)" orders version "(\w+)"( and is paused before it sends)?$/,
  async function (
    this: OrdersWorld,
    name: string,
    version: string,
    pause: string | undefined,
  ): Promise<void> {
    const instance = findInstance(this.fleet, name);
    const change = buildChange(this.fleet, instance.epoch ?? 0, { version });
    if (pause) this.paused.add(name);
    changeEngine(change, instance.context).then(
      ({ status, detail }) => this.ends.push(`${name}: ${status}, ${detail}`),
      (error: Error) => this.ends.push(`${name}: ${error.message}`),
    );
    if (pause) await passTime(this, 2_000);
  },
);

When("{string} wakes up", function (this: OrdersWorld, name: string): void {
  this.paused.delete(name);
  this.fleet.pending.push(...this.held.splice(0));
});

When(
  "the held order is delayed and its sender gets no answer",
  async function (this: OrdersWorld): Promise<void> {
    for (const step of this.held.splice(0)) step.run(StepFault.Delayed);
    this.paused.clear();
    await flushMicrotasks();
  },
);

When("the delayed order arrives", function (this: OrdersWorld): void {
  for (const late of this.fleet.late.splice(0)) late.run();
});

When("{string} crashes", function (this: OrdersWorld, name: string): void {
  this.fleet.crashed.add(name);
});

When(
  "{string} is recorded as stopped",
  function (this: OrdersWorld, instance: string): void {
    addRecord(this.fleet, "b", {
      record: { kind: RecordKind.InstanceStopped, instance },
    });
  },
);

When(
  /^"(\w+)" has (\d+) requests? at the engine$/,
  function (this: OrdersWorld, name: string, count: string): void {
    findInstance(this.fleet, name).inFlight = Number(count);
    this.fleet.engine.running = Number(count);
  },
);

When("the engine ends its change", function (this: OrdersWorld): void {
  this.fleet.engine.advance();
});

When("the engine restarts", function (this: OrdersWorld): void {
  this.fleet.engine.crash();
});

When(
  "{int} s pass with the orders",
  async function (this: OrdersWorld, seconds: number): Promise<void> {
    await passTime(this, seconds * 1_000);
  },
);

Then("the open orders match the snapshot", function (this: OrdersWorld): void {
  this.matchSnapshot(describeOrders(this.fleet.foldLog()));
});

Then("the orders match the snapshot", function (this: OrdersWorld): void {
  const { engine, log } = this.fleet;
  assert.deepEqual(engine.violations, []);
  this.matchSnapshot({
    ends: this.ends,
    received: engine.received,
    engine: engine.readState().target.models[0]?.version,
    records: log.slice(1).map(({ position, writer, record }) => {
      const closing = "closing" in record ? ` ${record.closing}` : "";
      return `${position} ${writer} ${record.kind}${closing}`;
    }),
    orders: describeOrders(this.fleet.foldLog()),
  });
});

/** Appends a successful claim of the lease and sets the instance's epoch to it. */
export function claimPool(
  fleet: OrderWorldState,
  instance: OrderInstance,
): void {
  const lease = fleet.foldLog().leases.drafts;
  instance.epoch = addRecord(fleet, instance.name, {
    record: {
      kind: RecordKind.LeaseClaimed,
      pool: "drafts",
      holder: instance.name,
      replaces: lease?.epoch ?? 0,
    },
  });
}

async function passTime(world: OrdersWorld, ms: number): Promise<void> {
  for (let passed = 0; passed < ms; passed += tickMs) {
    await runSteps(world);
    await world.clock?.tickAsync(tickMs);
  }
  await runSteps(world);
}

async function runSteps(world: OrdersWorld): Promise<void> {
  const { fleet } = world;
  for (let round = 0; round < 4; round++) {
    await flushMicrotasks();
    for (const step of fleet.pending.splice(0)) {
      const isHeld = step.kind === "order" && world.paused.has(step.instance);
      if (isHeld) world.held.push(step);
      else step.run(StepFault.None);
    }
    for (const instance of fleet.instances) {
      if (!fleet.crashed.has(instance.name)) instance.readLog();
    }
  }
  await flushMicrotasks();
}

function findInstance(fleet: OrderWorldState, name: string): OrderInstance {
  const instance = fleet.instances.find((one) => one.name === name);
  assert(instance, `no instance "${name}"`);
  return instance;
}
