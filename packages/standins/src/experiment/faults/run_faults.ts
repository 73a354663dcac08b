/** One seed of random faults: actions, recovery, and the checks at the end. */
import { FenceCheck, RecordKind, StreamName } from "@trefoildoor/core";
import type { Fleet } from "../../fleet/index.ts";
import {
  buildSmallPools,
  checkBookings,
  type FaultWorld,
  listRecordsOf,
  sendBooking,
  startFaultFleet,
} from "../../integration/fault_world.ts";
import { createRandom } from "../../shared/index.ts";
import {
  type FaultRun,
  listActions,
  pickRunning,
  stopFaults,
} from "./actions.ts";

const actionCount = 60;
const actionPauseMs = 250;
const leaseTimeMs = 1_500;
const modelLoadMs = 1_000;
const recoveryLimitMs = 150_000;
const checkPauseMs = 250;
const lastRepeats = 10;

/** What one seed showed. */
export interface FaultRunResult {
  readonly seed: number;
  readonly fenceCheck: FenceCheck;
  readonly faults: number;
  readonly outcomes: readonly string[];
  /** Requests called not run whose key an earlier request had run. */
  readonly notRunAfterRun: number;
  readonly bundles: number;
  /** Whether the engines reached the last bundle after the faults. */
  readonly rollout: string;
  readonly violations: readonly string[];
}

/** Runs one seed on a fleet of its own. */
export async function runFaults(seed: number): Promise<FaultRunResult> {
  const fenceCheck = seed % 2 === 0 ? FenceCheck.Ignored : FenceCheck.Checked;
  const world: FaultWorld = { faultInstances: new Map(), told: [] };
  const fleet = await startFaultFleet(world, {
    seed,
    names: ["a", "b", "c"],
    engine: { fenceCheck, modelLoadMs },
    settings: { lease: { time_ms: leaseTimeMs } },
    editBundle: (bundle) => buildSmallPools(bundle, { fenceCheck, engines: 2 }),
  });
  const run: FaultRun = {
    world,
    fleet,
    random: createRandom(seed),
    bundle: fleet.bundle,
    pending: [],
    suspended: new Set(),
    faults: 0,
    bundles: 0,
    starts: 0,
    keys: 0,
  };
  try {
    return await runOn(run, { seed, fenceCheck });
  } finally {
    await fleet.close();
  }
}

async function runOn(
  run: FaultRun,
  options: { readonly seed: number; readonly fenceCheck: FenceCheck },
): Promise<FaultRunResult> {
  const actions = listActions();
  for (let count = 0; count < actionCount; count++) {
    const action = actions[Math.floor(run.random() * actions.length)];
    await action?.(run);
    await pauseFor(actionPauseMs);
  }
  stopFaults(run);
  await Promise.all(run.pending);
  await retryAll(run);
  const rollout = await waitForRollout(run);
  const violations = [
    ...findBookingFaults(run),
    ...findEngineFaults(run.fleet),
  ];
  return {
    ...options,
    faults: run.faults,
    outcomes: run.world.told.map(({ outcome }) => outcome),
    notRunAfterRun:
      run.world.told.filter(({ outcome, runs }) =>
        outcome === "not_run" && runs > 0
      ).length,
    bundles: run.bundles,
    rollout,
    violations,
  };
}

/** Repeats every booking, so that each key's last outcome is known. */
async function retryAll(run: FaultRun): Promise<void> {
  const keys = new Set(run.world.told.map(({ key }) => key));
  for (const key of [...keys].slice(-lastRepeats)) {
    const instance = pickRunning(run);
    if (instance) await sendBooking(run.world, instance, { key });
  }
}

async function waitForRollout(run: FaultRun): Promise<string> {
  const wanted = run.bundle.pools[0]?.models[0]?.version;
  const engines = run.fleet.engines.slice(0, 2);
  const startMs = performance.now();
  while (performance.now() < startMs + recoveryLimitMs) {
    const reached = engines.every(({ standin }) =>
      standin.getTarget().models[0]?.version === wanted
    );
    if (reached) {
      return `after ${((performance.now() - startMs) / 1_000).toFixed(0)} s`;
    }
    if (isHalted(run)) return "halted";
    await pauseFor(checkPauseMs);
  }
  return `not within ${recoveryLimitMs / 1_000} s`;
}

function isHalted({ fleet, bundle }: FaultRun): boolean {
  return listRecordsOf(fleet, StreamName.Control, {
    kind: RecordKind.RolloutHalted,
  }).some(({ record }) =>
    record.kind === RecordKind.RolloutHalted &&
    record.version === bundle.version
  );
}

function findBookingFaults(run: FaultRun): readonly string[] {
  try {
    checkBookings(run.world);
    return [];
  } catch (error) {
    return [error instanceof Error ? error.message : String(error)];
  }
}

function findEngineFaults(fleet: Fleet): readonly string[] {
  return fleet.engines.flatMap(({ name, standin }) =>
    standin.listConflicts().map(([first, second]) =>
      `${name} ran orders ${first} and ${second} at once`
    )
  );
}

function pauseFor(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}
