/** Steps of `authority.feature`, with real processes. */
import { strict as assert } from "node:assert";
import { After, Given, Then, When } from "@cucumber/cucumber";
import {
  ExampleFleet,
  getOffset,
  RecordKind,
  StreamName,
} from "@trefoildoor/core";
import { waitUntil } from "@trefoildoor/testing";
import { startFleet } from "../fleet/index.ts";
import { replayModel } from "../history/index.ts";
import { listCountedRecords } from "../history/replay_model.ts";
import { NewConnections } from "../relay/index.ts";
import { Outage } from "../shared/index.ts";
import {
  authorityTimeoutMs,
  type AuthorityWorld,
  buildNextBundle,
  getFleet,
  listEntries,
  observeVersions,
  waitForVersion,
} from "./authority_world.ts";
import { closeChecked } from "./close_checked.ts";

const timeout = { timeout: authorityTimeoutMs };

Given(
  "an authority fleet with {int} instances",
  timeout,
  async function (this: AuthorityWorld, instances: number): Promise<void> {
    this.authorityFleet = await startFleet({
      fleet: ExampleFleet.Association,
      instances,
    });
    this.newestBundle = this.authorityFleet.bundle;
    this.versions = new Map();
    await waitForVersion(this, 1);
  },
);

After(timeout, async function (this: Partial<AuthorityWorld>): Promise<void> {
  if (this.authorityFleet) await closeChecked(this.authorityFleet);
});

When(
  "the failure domain of the second instance is cut off from the log",
  function (this: AuthorityWorld): void {
    const instances = getFleet(this).listInstances();
    const domain = instances[1]?.failureDomain;
    const cut = instances.filter((each) => each.failureDomain === domain);
    assert(cut.length > 0 && cut.length < instances.length);
    for (const { logRelay } of cut) {
      logRelay.setNewConnections(NewConnections.Cut);
      logRelay.cutAll();
    }
  },
);

When("an operator publishes the next bundle", function (
  this: AuthorityWorld,
): void {
  this.newestBundle = buildNextBundle(this.newestBundle, "next");
  this.publishedMs = performance.now();
  getFleet(this).publishBundle(this.newestBundle);
});

When(
  "two operators publish different bundles for version {int}",
  function (this: AuthorityWorld, version: number): void {
    assert.equal(this.newestBundle.version + 1, version);
    this.publishedMs = performance.now();
    for (const note of ["first", "second"]) {
      getFleet(this).publishBundle(buildNextBundle(this.newestBundle, note));
    }
  },
);

When("the log serves no instance", function (this: AuthorityWorld): void {
  getFleet(this).log.faults.outage = Outage.Refuse;
});

When(
  "the log serves all instances again",
  function (this: AuthorityWorld): void {
    getFleet(this).log.faults.outage = Outage.None;
  },
);

When("{int} ms pass for the authority fleet", timeout, async function (
  this: AuthorityWorld,
  ms: number,
): Promise<void> {
  const endMs = performance.now() + ms;
  await waitUntil("the time passes", async () => {
    await observeVersions(this);
    return performance.now() >= endMs;
  });
});

When(
  "the first instance is killed and another one starts",
  timeout,
  async function (this: AuthorityWorld): Promise<void> {
    const fleet = getFleet(this);
    const first = fleet.listInstances()[0];
    assert(first);
    await fleet.killInstance(first);
    this.publishedMs = performance.now();
    await fleet.startInstance("entry-late");
  },
);

When("another instance starts", timeout, async function (
  this: AuthorityWorld,
): Promise<void> {
  this.publishedMs = performance.now();
  await getFleet(this).startInstance("entry-late");
});

When(
  "a checkpoint covers version {int} and the log forgets what is before it",
  timeout,
  async function (this: AuthorityWorld, version: number): Promise<void> {
    const { log } = getFleet(this);
    await waitForVersion(this, version);
    const bundles = listEntries(getFleet(this)).control.length;
    let edge = 0;
    await waitUntil("a checkpoint covers the bundle", () => {
      const { control } = listEntries(getFleet(this));
      for (const { record } of listCountedRecords(control)) {
        if (record.kind !== RecordKind.ControlCheckpoint) continue;
        edge = getOffset(record.upTo);
      }
      return edge >= bundles;
    }, { deadlineMs: 110_000 });
    log.expire(StreamName.Control, edge);
  },
);

Then(
  "version {int} is in force at every instance within {int} ms",
  timeout,
  async function (
    this: AuthorityWorld,
    version: number,
    ms: number,
  ): Promise<void> {
    await waitForVersion(this, version);
    const passedMs = performance.now() - this.publishedMs;
    assert(passedMs <= ms, `in force after ${passedMs.toFixed(0)} ms`);
  },
);

Then(
  "no instance ever reported an older version than before",
  async function (this: AuthorityWorld): Promise<void> {
    await observeVersions(this);
    for (const [name, versions] of this.versions) {
      const sorted = versions.toSorted((left, right) => left - right);
      assert.deepEqual(versions, sorted, name);
    }
  },
);

Then("the log accepted the first bundle of the two", function (
  this: AuthorityWorld,
): void {
  const { bundles } = replayModel(listEntries(getFleet(this)).control);
  assert.deepEqual(bundles.map(({ note }) => note).slice(1), ["first"]);
});
