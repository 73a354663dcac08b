/**
 * Time from the append of a bundle until it is in force in each failure
 * domain, with all links whole and with one domain cut off from the log; and
 * time from the pause of a lease holder until another instance holds the lease.
 */
import { type Bundle, ExampleFleet, StreamName } from "@trefoildoor/core";
import { waitUntil } from "@trefoildoor/testing";
import { quantileSorted } from "simple-statistics";
import {
  type Fleet,
  type FleetInstance,
  startFleet,
} from "../../fleet/index.ts";
import { replayModel } from "../../history/index.ts";
import { NewConnections } from "../../relay/index.ts";
import type {
  Experiment,
  ExperimentOptions,
  ExperimentReport,
} from "../experiment.ts";

/** How fast bundles and leases move between real processes. */
export const bundleInForce: Experiment = {
  name: "bundle_in_force",
  describe: "time until a bundle is in force, and until a lease moves",
  defaultSeeds: 1,
  run: runBundleInForce,
};

const bundlesPerSeed = 20;
const pauseMs = 15;

/** Times in ms by the row that they belong to. */
type Times = Map<string, number[]>;

async function runBundleInForce(
  options: ExperimentOptions,
): Promise<ExperimentReport> {
  const times: Times = new Map();
  for (let seed = 1; seed <= options.seeds; seed++) {
    for (const fleetName of Object.values(ExampleFleet)) {
      const fleet = await startFleet({ fleet: fleetName, seed });
      await waitForVersion(fleet, 1);
      await measureFleet(fleet, times, { fleetName });
      await fleet.close();
    }
  }
  const rows = [...times].map(([row, list]) => {
    const sorted = list.toSorted((left, right) => left - right);
    const figures = [0.5, 0.95, 1].map((share) =>
      quantileSorted(sorted, share).toFixed(0)
    );
    return [row, String(list.length), ...figures];
  });
  return {
    title: "bundle_in_force",
    notes: [
      "Real instances at the fleets' sizes of today; each instance is asked for its version every 15 ms.",
    ],
    tables: [{
      title: "Times in ms",
      columns: ["what", "count", "p50", "p95", "longest"],
      rows,
    }],
    plots: [],
    data: Object.fromEntries(times),
  };
}

async function measureFleet(
  fleet: Fleet,
  times: Times,
  options: { readonly fleetName: string },
): Promise<void> {
  const { fleetName } = options;
  const whole = { fleetName, label: "links whole" };
  const bundle = await measureBundles(fleet, times, {
    ...whole,
    bundle: fleet.bundle,
  });
  await measureTakeover(fleet, times, { row: `${fleetName}, lease moves` });
  const cut = fleet.listInstances()[1]?.failureDomain ?? "";
  for (const { failureDomain, logRelay } of fleet.listInstances()) {
    if (failureDomain !== cut) continue;
    logRelay.setNewConnections(NewConnections.Cut);
    logRelay.cutAll();
  }
  const label = `${cut} cut off from the log`;
  await measureBundles(fleet, times, { fleetName, label, bundle });
}

async function measureBundles(
  fleet: Fleet,
  times: Times,
  options: {
    readonly fleetName: string;
    readonly label: string;
    readonly bundle: Bundle;
  },
): Promise<Bundle> {
  let { bundle } = options;
  for (let count = 0; count < bundlesPerSeed; count++) {
    const { version } = bundle;
    bundle = { ...bundle, version: version + 1, parent: version };
    const startMs = performance.now();
    fleet.publishBundle(bundle);
    const measured = fleet.listInstances().map(async (instance) => {
      await waitForInstance(instance, bundle.version);
      const row =
        `${options.fleetName}, ${options.label}: ${instance.failureDomain}`;
      addTime(times, row, { ms: performance.now() - startMs });
    });
    await Promise.all(measured);
  }
  return bundle;
}

async function measureTakeover(
  fleet: Fleet,
  times: Times,
  options: { readonly row: string },
): Promise<void> {
  await waitUntil("a lease is held", () => findHolder(fleet) !== undefined);
  const holder = findHolder(fleet);
  const startMs = performance.now();
  holder?.pause();
  await waitUntil("the lease moves", () => {
    const next = findHolder(fleet);
    return next !== undefined && next !== holder;
  });
  addTime(times, options.row, { ms: performance.now() - startMs });
  holder?.resume();
}

function findHolder(fleet: Fleet): FleetInstance | undefined {
  const pool = fleet.bundle.pools[0]?.name ?? "";
  const entries = fleet.log.listEntries(StreamName.Control);
  const lease = replayModel(entries).leases.get(pool);
  if (!lease || lease.released) return undefined;
  return fleet.listInstances().find(({ name }) =>
    lease.holder.startsWith(`${name}~`)
  );
}

async function waitForVersion(fleet: Fleet, version: number): Promise<void> {
  await Promise.all(
    fleet.listInstances().map((each) => waitForInstance(each, version)),
  );
}

async function waitForInstance(
  instance: FleetInstance,
  version: number,
): Promise<void> {
  for (;;) {
    const response = await fetch(`http://${instance.callerAddress}/healthz`);
    const health = await response.json() as { readonly version: number };
    if (health.version >= version) return;
    await new Promise((resolve) => setTimeout(resolve, pauseMs));
  }
}

function addTime(
  times: Times,
  row: string,
  options: { readonly ms: number },
): void {
  const list = times.get(row) ?? [];
  list.push(options.ms);
  times.set(row, list);
}
