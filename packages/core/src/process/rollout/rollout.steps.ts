/** Steps of `rollout.feature`. */
import { strict as assert } from "node:assert";
import { After, Given, Then, When } from "@cucumber/cucumber";
import { pauseClock, type PausedClock } from "@trefoildoor/testing";
import {
  EngineRole,
  FenceCheck,
  OrderProgress,
  RecordKind,
  type RoleChange,
} from "../../types/index.ts";
import {
  addRecord,
  flushMicrotasks,
  StepFault,
} from "../../shared/remote_steps.test.ts";
import {
  createOrderWorld,
  type OrderWorldState,
} from "../orders/order_world.test.ts";
import { claimPool } from "../orders/orders.steps.ts";
import { describeRollout } from "./describe_rollout.ts";
import { reconcilePool } from "./reconcile_pool.ts";

/** State of one scenario. */
interface RolloutWorld {
  clock?: PausedClock;
  fleet: OrderWorldState;
  health: { finished: number; failed: number };
  /** Requests that each further second adds to the health. */
  traffic: { finished: number; failed: number };
  plannedChanges: RoleChange[];
  maxAway: number;
  stopPools?: AbortController;
  matchSnapshot: (received: unknown) => void;
}

const tickMs = 250;
const changeMs = 3_000;

After(function (this: RolloutWorld): void {
  this.stopPools?.abort();
});

Given(
  /^a pool of engines "([^"]*)" kept by "([^"]*)"$/,
  function (this: RolloutWorld, engines: string, names: string): void {
    this.clock = pauseClock();
    this.stopPools = new AbortController();
    this.health = { finished: 1_000, failed: 0 };
    this.traffic = { finished: 10, failed: 0 };
    this.plannedChanges = [];
    this.maxAway = 0;
    this.fleet = createOrderWorld(FenceCheck.Checked, {
      engines: engines.split(", "),
      changeMs,
    });
    for (const name of names.split(", ")) startPool(this, name);
  },
);

Given(
  /^changes of engine "(\w+)" (fail|succeed)$/,
  function (this: RolloutWorld, name: string, outcome: string): void {
    const engine = this.fleet.engines.get(name);
    assert(engine);
    engine.fails = outcome === "fail";
  },
);

Given(
  "a planner that wants {string} to prefill and then {string} to prefill",
  function (this: RolloutWorld, first: string, second: string): void {
    this.plannedChanges = [first, second].map((engine) => ({
      engine,
      role: EngineRole.Prefill,
      gain: 1,
    }));
  },
);

When("{string} conducts the pool", function (
  this: RolloutWorld,
  name: string,
): void {
  const instance = this.fleet.instances.find((one) => one.name === name);
  assert(instance);
  claimPool(this.fleet, instance);
});

When("{string} dies as conductor", function (
  this: RolloutWorld,
  instance: string,
): void {
  this.fleet.crashed.add(instance);
  addRecord(this.fleet, "list", {
    record: { kind: RecordKind.InstanceStopped, instance },
  });
});

When("an operator resumes the rollout", function (this: RolloutWorld): void {
  addRecord(this.fleet, "operator", {
    record: {
      kind: RecordKind.RolloutResumed,
      pool: "drafts",
      version: 1,
      author: "operator",
    },
  });
});

When(
  "each further second {int} requests finish and {int} fail",
  function (this: RolloutWorld, finished: number, failed: number): void {
    this.traffic = { finished, failed };
  },
);

When(
  "{int} s pass with the rollout",
  async function (this: RolloutWorld, seconds: number): Promise<void> {
    for (let passed = 0; passed < seconds * 1_000; passed += tickMs) {
      await runFleet(this);
      await this.clock?.tickAsync(tickMs);
      this.health.finished += this.traffic.finished * tickMs / 1_000;
      this.health.failed += this.traffic.failed * tickMs / 1_000;
    }
  },
);

Then("the rollout matches the snapshot", function (this: RolloutWorld): void {
  const { fleet } = this;
  this.matchSnapshot({
    rollout: describeRollout(fleet.foldLog()),
    orders: fleet.log.flatMap(({ writer, record }) =>
      record.kind === RecordKind.OrderOpened
        ? [
          `${writer}: ${record.engine} ${record.target.role} ${
            record.target.models[0]?.version
          }${record.fenceOnly ? ", number only" : ""}`,
        ]
        : []
    ),
    versions: [...fleet.engines].map(([name, engine]) => {
      const { target } = engine.readState();
      return `${name} ${target.role} ${target.models[0]?.version}`;
    }),
  });
});

Then("at most {int} engine was away at a time", function (
  this: RolloutWorld,
  count: number,
): void {
  assert.equal(this.maxAway, count);
});

Then("no engine of the rollout saw a violation", function (
  this: RolloutWorld,
): void {
  for (const engine of this.fleet.engines.values()) {
    assert.deepEqual(engine.violations, []);
  }
});

function startPool(world: RolloutWorld, name: string): void {
  const instance = world.fleet.addInstance(name);
  assert(world.stopPools);
  void reconcilePool({
    ...instance.context,
    pool: "drafts",
    planRoles: () => {
      const [planned] = world.plannedChanges;
      const done = planned && world.fleet.engines.get(planned.engine)
            ?.readState().target.role === planned.role;
      if (done) world.plannedChanges.shift();
      return world.plannedChanges[0];
    },
    listEngines: () => [],
    listDemand: () => [],
    measureHealth: () => ({ ...world.health }),
    signal: world.stopPools.signal,
  });
}

async function runFleet(world: RolloutWorld): Promise<void> {
  const { fleet } = world;
  for (let round = 0; round < 4; round++) {
    await flushMicrotasks();
    for (const step of fleet.pending.splice(0)) step.run(StepFault.None);
    for (const instance of fleet.instances) {
      if (!fleet.crashed.has(instance.name)) instance.readLog();
    }
  }
  const away = [...fleet.engines.values()].filter((engine) =>
    engine.readState().progress === OrderProgress.Running
  );
  world.maxAway = Math.max(world.maxAway, away.length);
}
