/** Steps of `authority_orders.feature`, with real processes. */
import { strict as assert } from "node:assert";
import { Given, Then, When } from "@cucumber/cucumber";
import {
  type Bundle,
  ExampleFleet,
  FenceCheck,
  recordGroupSchema,
  RecordKind,
  StreamName,
} from "@trefoildoor/core";
import { waitUntil } from "@trefoildoor/testing";
import { type FleetInstance, startFleet } from "../fleet/index.ts";
import { replayModel } from "../history/index.ts";
import { NewConnections } from "../relay/index.ts";
import {
  authorityTimeoutMs,
  type AuthorityWorld,
  buildNextBundle,
  getFleet,
  listEntries,
  waitForVersion,
} from "./authority_world.ts";

const timeout = { timeout: authorityTimeoutMs };
const engineCount = 2;
const newVersion = "model-version-2";

Given(
  /^an authority fleet of (\d+) instances before engines that (check|ignore) numbers$/,
  timeout,
  async function (
    this: AuthorityWorld,
    instances: string,
    check: string,
  ): Promise<void> {
    const fenceCheck = check === "check"
      ? FenceCheck.Checked
      : FenceCheck.Ignored;
    this.authorityFleet = await startFleet({
      fleet: ExampleFleet.Association,
      instances: Number(instances),
      engine: { fenceCheck, modelLoadMs: 400 },
      editBundle: (bundle) =>
        buildPoolChange(bundle, { "fence_check": fenceCheck }),
    });
    this.newestBundle = this.authorityFleet.bundle;
    this.versions = new Map();
    await waitForVersion(this, 1);
    await waitUntil("the pool has a holder", () => findHolder(this) !== "");
  },
);

When(
  /^a new model version is published and its holder is (.*) once (the log|an engine) has its order$/,
  timeout,
  async function (
    this: AuthorityWorld,
    fault: string,
    place: string,
  ): Promise<void> {
    const strike = (name: string): void => {
      if (this.struck) return;
      const instances = getFleet(this).listInstances();
      this.struck = instances.find((each) => isProcessOf(name, each));
      if (this.struck) injectFault(this, { fault });
    };
    if (place === "the log") injectAtLog(this, strike);
    else injectAtEngine(this, strike);
    this.newestBundle = buildPoolChange(
      buildNextBundle(this.newestBundle, "next"),
      {
        models: this.newestBundle.pools[0]?.models.map((model) => ({
          ...model,
          version: newVersion,
        })),
      },
    );
    getFleet(this).publishBundle(this.newestBundle);
    await waitUntil("the holder is struck", () => this.struck !== undefined);
  },
);

Then("another instance holds the lease of the pool", timeout, async function (
  this: AuthorityWorld,
): Promise<void> {
  await waitUntil("another instance holds the lease", () => {
    const holder = findHolder(this);
    return holder !== "" && !(this.struck && isProcessOf(holder, this.struck));
  });
});

When("the struck instance is let go on", function (this: AuthorityWorld): void {
  this.struck?.resume();
  this.struck?.logRelay.clear();
});

Then(
  "all engines of the pool run the new model version",
  timeout,
  async function (
    this: AuthorityWorld,
  ): Promise<void> {
    const engines = getFleet(this).engines.slice(0, engineCount);
    await waitUntil(
      "the engines run the new version",
      () =>
        engines.every(({ standin }) =>
          standin.getTarget().models.every(({ version }) =>
            version === newVersion
          )
        ),
      { deadlineMs: authorityTimeoutMs - 5_000 },
    );
  },
);

/** Strikes the writer of the first order, before its append is answered. */
function injectAtLog(
  world: AuthorityWorld,
  strike: (name: string) => void,
): void {
  getFleet(world).log.onAppend((stream, { payload }) => {
    if (stream !== StreamName.Control) return;
    const group = recordGroupSchema.parse(JSON.parse(payload));
    const kinds = group.records.map(({ kind }) => kind);
    if (kinds.includes(RecordKind.OrderOpened)) strike(group.writer);
  });
}

/** Strikes the holder when an engine has its first order, before it is answered. */
function injectAtEngine(
  world: AuthorityWorld,
  strike: (name: string) => void,
): void {
  for (const { standin } of getFleet(world).engines) {
    standin.onOrder(() => strike(findHolder(world)));
  }
}

function injectFault(
  world: AuthorityWorld,
  options: { readonly fault: string },
): void {
  const struck = world.struck as FleetInstance;
  if (options.fault === "paused") return void struck.pause();
  if (options.fault === "killed") {
    return void getFleet(world).killInstance(struck);
  }
  struck.logRelay.setNewConnections(NewConnections.Cut);
  struck.logRelay.cutAll();
}

/** Holder of the pool's lease by the log; empty while there is none. */
function findHolder(world: AuthorityWorld): string {
  const { control } = listEntries(getFleet(world));
  const [pool] = world.newestBundle.pools;
  assert(pool);
  const lease = replayModel(control).leases.get(pool.name);
  return lease && !lease.released ? lease.holder : "";
}

/** Whether a name in the log is that of an instance's process. */
function isProcessOf(name: string, instance: FleetInstance): boolean {
  return name.startsWith(`${instance.name}~`);
}

/** Changes the first pool and leaves it a few engines. */
function buildPoolChange(
  bundle: Bundle,
  change: Partial<Bundle["pools"][number]>,
): Bundle {
  const [pool, ...others] = bundle.pools;
  assert(pool);
  const engines = pool.engines.slice(0, engineCount);
  return { ...bundle, pools: [{ ...pool, ...change, engines }, ...others] };
}
