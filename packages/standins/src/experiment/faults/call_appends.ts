/** Experiment: appends for each call that must not repeat, by calls at a time. */
import { FenceCheck, StreamName } from "@trefoildoor/core";
import {
  buildSmallPools,
  type FaultWorld,
  sendBooking,
  startFaultFleet,
} from "../../integration/fault_world.ts";
import type { Experiment, ExperimentReport } from "../experiment.ts";

const instanceNames = ["a", "b", "c", "d", "e", "f", "g"];
const appendsPerSecond = 300;
const callsAtATime = [1, 8, 32, 128];
const durationMs = 5_000;

/** Figures for one number of calls at a time. */
interface AppendPoint {
  readonly atATime: number;
  readonly calls: number;
  readonly done: number;
  readonly appends: number;
  readonly seconds: number;
}

/** The experiment. */
export const callAppends: Experiment = {
  name: "call_appends",
  describe: "Appends per call that must not repeat, seven instances",
  defaultSeeds: 1,
  run: runPoints,
};

async function runPoints(): Promise<ExperimentReport> {
  const world: FaultWorld = { faultInstances: new Map(), told: [] };
  const fleet = await startFaultFleet(world, {
    names: instanceNames,
    log: { appendsPerSecond },
    editBundle: (bundle) =>
      buildSmallPools(bundle, { fenceCheck: FenceCheck.Checked, engines: 1 }),
  });
  const points: AppendPoint[] = [];
  try {
    for (const atATime of callsAtATime) {
      points.push(await measurePoint(world, atATime));
    }
  } finally {
    await fleet.close();
  }
  return {
    title: "Appends for calls that must not repeat",
    notes: [
      `${instanceNames.length} instances, a log that takes ${appendsPerSecond} appends a second, ${
        durationMs / 1_000
      } s for each row.`,
    ],
    tables: [{
      title: "By calls at a time",
      columns: ["at a time", "calls", "done", "calls/s", "appends per call"],
      rows: points.map((point) => [
        String(point.atATime),
        String(point.calls),
        String(point.done),
        (point.done / point.seconds).toFixed(0),
        (point.appends / point.calls).toFixed(2),
      ]),
    }],
    plots: [],
    data: points,
  };
}

async function measurePoint(
  world: FaultWorld,
  atATime: number,
): Promise<AppendPoint> {
  const fleet = world.faultFleet;
  if (!fleet) throw new Error("no fleet runs");
  const countEntries = (): number =>
    fleet.log.listEntries(StreamName.Calls).length;
  const appendsBefore = countEntries();
  const toldBefore = world.told.length;
  const startMs = performance.now();
  const instances = fleet.listInstances();
  await Promise.all(Array.from({ length: atATime }, async (_, index) => {
    const instance = instances[index % instances.length];
    for (let call = 0; performance.now() < startMs + durationMs; call++) {
      const key = `${atATime}-${index}-${call}`;
      if (instance) await sendBooking(world, instance, { key });
    }
  }));
  const told = world.told.slice(toldBefore);
  return {
    atATime,
    calls: told.length,
    done: told.filter(({ outcome }) => outcome === "done").length,
    appends: countEntries() - appendsBefore,
    seconds: (performance.now() - startMs) / 1_000,
  };
}
