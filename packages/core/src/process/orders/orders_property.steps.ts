/** Property test of `orders.feature`: random steps with random faults at any time. */
import { strict as assert } from "node:assert";
import { Then } from "@cucumber/cucumber";
import { pauseClock, type PausedClock } from "@trefoildoor/testing";
import fc from "fast-check";
import { FenceCheck, RecordKind } from "../../types/index.ts";
import {
  addRecord,
  flushMicrotasks,
  StepFault,
} from "../../shared/remote_steps.test.ts";
import { orderTransitLimitMs } from "./poll_order.ts";
import { changeEngine } from "./change_engine.ts";
import {
  buildChange,
  createOrderWorld,
  type OrderWorldState,
} from "./order_world.test.ts";
import { claimPool } from "./orders.steps.ts";

const choiceCount = 160;
/** One step in this many fails. */
const faultInterval = 5;
const faults = Object.values(StepFault);
const longestTickMs = 20_000;

/** State of one random run. */
interface RandomRun {
  readonly fleet: OrderWorldState;
  readonly clock: PausedClock;
  changes: number;
}

Then(
  /^(\d+) random runs on an engine that (checks|ignores) numbers with seed (\d+) show no conflict$/,
  { timeout: 600_000 },
  async function (runs: string, checks: string, seed: string): Promise<void> {
    const clock = pauseClock();
    const fenceCheck = checks === "checks"
      ? FenceCheck.Checked
      : FenceCheck.Ignored;
    const property = fc.asyncProperty(
      fc.array(fc.nat({ max: 0xffff }), {
        minLength: choiceCount,
        maxLength: choiceCount,
      }),
      (choices) => runRandomly({ clock, fenceCheck, choices }),
    );
    try {
      const options = { seed: Number(seed), numRuns: Number(runs) };
      await fc.assert(property, {
        ...options,
        endOnFailure: true,
        includeErrorInReport: true,
      });
    } finally {
      clock.uninstall();
    }
  },
);

async function runRandomly(options: {
  readonly clock: PausedClock;
  readonly fenceCheck: FenceCheck;
  readonly choices: readonly number[];
}): Promise<void> {
  const fleet = createOrderWorld(options.fenceCheck);
  const run: RandomRun = { fleet, clock: options.clock, changes: 0 };
  for (const name of ["a", "b", "c"]) fleet.addInstance(name);
  for (const choice of options.choices) {
    await runStep(run, choice);
    assert.deepEqual(fleet.engine.violations, []);
  }
  await checkProgress(run);
  fleet.stop();
  await options.clock.tickAsync(2_000);
}

async function runStep(run: RandomRun, choice: number): Promise<void> {
  const { fleet } = run;
  const rest = Math.floor(choice / 10);
  const instance = fleet.instances[rest % fleet.instances.length];
  switch (choice % 10) {
    case 0:
      if (instance && !fleet.crashed.has(instance.name) && rest % 4 === 0) {
        instance.readLog();
        claimPool(fleet, instance);
      }
      break;
    case 1:
      // The epoch of the instance may be out of date.
      if (instance?.epoch) startChange(run, instance.name);
      break;
    case 2:
      if (rest % 3 === 0) fleet.engine.advance();
      if (rest % 31 === 0) fleet.engine.crash();
      break;
    case 3:
      fleet.late.splice(rest % (fleet.late.length || 1), 1)[0]?.run();
      break;
    case 4:
      await advanceClock(run, rest % longestTickMs);
      break;
    case 5:
      instance?.readLog(rest % 4);
      break;
    case 6:
    case 7:
      await runWithoutFaults(fleet);
      break;
    case 8:
      runOrderStep(fleet, rest);
      break;
    default:
      runPending(fleet, rest);
  }
  await flushMicrotasks();
  replaceCrashed(fleet, rest);
}

function startChange(run: RandomRun, name: string): void {
  const { fleet } = run;
  const instance = fleet.instances.find((one) => one.name === name);
  if (!instance?.epoch || fleet.crashed.has(name)) return;
  const version = String(2 + run.changes++ % 3);
  const change = buildChange(fleet, instance.epoch, { version });
  changeEngine(change, instance.context).catch(() => {
    // A failed change shows the instance that its lease is lost.
    if (instance.epoch === change.epoch) instance.epoch = undefined;
  });
}

/** Runs all pending steps except orders, without faults. */
async function runWithoutFaults(fleet: OrderWorldState): Promise<void> {
  for (let round = 0; round < 3; round++) {
    const steps = fleet.pending.splice(0);
    const orders = steps.filter((step) => step.kind === "order");
    fleet.pending.push(...orders);
    for (const step of steps) {
      if (step.kind !== "order") step.run(StepFault.None);
    }
    for (const instance of fleet.instances) instance.readLog();
    await flushMicrotasks();
  }
}

/** Runs one pending order, at least half of the time without a fault. */
function runOrderStep(fleet: OrderWorldState, choice: number): void {
  const orders = fleet.pending.filter((step) => step.kind === "order");
  const step = orders[choice % (orders.length || 1)];
  if (!step) return;
  fleet.pending.splice(fleet.pending.indexOf(step), 1);
  const fault = faults[Math.floor(choice / 16) % (2 * faults.length)];
  step.run(fault ?? StepFault.None);
}

function runPending(fleet: OrderWorldState, choice: number): void {
  const index = choice % (fleet.pending.length || 1);
  const fails = Math.floor(choice / 64) % faultInterval === 0;
  const fault = faults[Math.floor(choice / 320) % faults.length];
  const step = fleet.pending.splice(index, 1)[0];
  step?.run(fails && fault ? fault : StepFault.None);
}

/** Advances the clock; delayed steps run once they are `orderTransitLimitMs` old. */
async function advanceClock(run: RandomRun, ms: number): Promise<void> {
  const edgeMs = performance.now() + ms - orderTransitLimitMs;
  const due = run.fleet.late.filter((late) => late.sinceMs <= edgeMs);
  for (const late of due) {
    run.fleet.late.splice(run.fleet.late.indexOf(late), 1);
    late.run();
  }
  await run.clock.tickAsync(ms);
}

/** Starts new instances, and sometimes records a crashed one as stopped. */
function replaceCrashed(fleet: OrderWorldState, choice: number): void {
  const live = fleet.instances.filter((one) => !fleet.crashed.has(one.name));
  if (live.length < 3) fleet.addInstance(`n${fleet.instances.length}`);
  const [gone] = [...fleet.crashed].filter((name) =>
    Object.hasOwn(fleet.foldLog().instances, name)
  );
  if (!gone || choice % 7 !== 0) return;
  addRecord(fleet, "list", {
    record: { kind: RecordKind.InstanceStopped, instance: gone },
  });
}

/** Checks that without faults the next lease holder brings the engine to its target. */
async function checkProgress(run: RandomRun): Promise<void> {
  const { fleet } = run;
  for (const instance of fleet.crashed) {
    addRecord(fleet, "list", {
      record: { kind: RecordKind.InstanceStopped, instance },
    });
  }
  const holder = fleet.instances.find((one) => !fleet.crashed.has(one.name));
  assert(holder, "no live instance");
  for (const one of fleet.instances) one.epoch = undefined;
  claimPool(fleet, holder);
  let end = "no end";
  for (let round = 0; round < 1_200; round++) {
    if (round % 200 === 0) {
      const change = buildChange(fleet, holder.epoch ?? 0, { version: "9" });
      void changeEngine(change, holder.context).then(
        ({ status, detail }) => end = `${status}, ${detail}`,
        (error: Error) => end = error.message,
      );
    }
    for (const step of fleet.pending.splice(0)) step.run(StepFault.None);
    for (const one of fleet.instances) one.readLog();
    if (round % 8 === 7) fleet.engine.advance();
    await flushMicrotasks();
    if (end.startsWith("reached")) break;
    if (round % 2 === 1) await advanceClock(run, 500);
  }
  assert.deepEqual(fleet.engine.violations, []);
  assert(end.startsWith("reached"), `no progress: ${end}`);
}
