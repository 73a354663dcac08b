/** What the integration steps on bundles, leases and orders share. */
import { strict as assert } from "node:assert";
import { type Bundle, StreamName } from "@trefoildoor/core";
import { waitUntil } from "@trefoildoor/testing";
import type { Fleet, FleetInstance } from "../fleet/index.ts";
import type { HistoryEntries } from "../history/index.ts";

/** State of one scenario. */
export interface AuthorityWorld {
  authorityFleet?: Fleet;
  newestBundle: Bundle;
  publishedMs: number;
  /** Versions that each instance reported, without repeats. */
  versions: Map<string, number[]>;
  /** Instance that a scenario paused, killed or cut off. */
  struck?: FleetInstance;
}

/** Time that a step with real processes may take, in ms. */
export const authorityTimeoutMs = 120_000;

/** The fleet of the scenario. */
export function getFleet(world: AuthorityWorld): Fleet {
  assert(world.authorityFleet);
  return world.authorityFleet;
}

/** Entries of both streams from their first one. */
export function listEntries(fleet: Fleet): HistoryEntries {
  return {
    control: fleet.log.listEntries(StreamName.Control),
    calls: fleet.log.listEntries(StreamName.Calls),
  };
}

/** The next version with the same content. */
export function buildNextBundle(bundle: Bundle, note: string): Bundle {
  const { version } = bundle;
  return { ...bundle, version: version + 1, parent: version, note };
}

/** Waits until a version is in force at every instance. */
export async function waitForVersion(
  world: AuthorityWorld,
  version: number,
): Promise<void> {
  await waitUntil(`version ${version} is in force everywhere`, async () => {
    await observeVersions(world);
    const names = getFleet(world).listInstances().map(({ name }) => name);
    return names.every((name) => world.versions.get(name)?.at(-1) === version);
  });
}

/** Notes the version that each instance reports now. */
export async function observeVersions(world: AuthorityWorld): Promise<void> {
  const instances = [...getFleet(world).listInstances()];
  await Promise.all(instances.map(async (instance) => {
    const version = await fetchVersion(instance);
    const versions = world.versions.get(instance.name) ?? [];
    if (versions.at(-1) !== version) versions.push(version);
    world.versions.set(instance.name, versions);
  }));
}

async function fetchVersion(instance: FleetInstance): Promise<number> {
  const response = await fetch(`http://${instance.callerAddress}/healthz`);
  const health = await response.json() as { readonly version: number };
  return health.version;
}
