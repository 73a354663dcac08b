/** Steps of `version_record.feature`. */
import { strict as assert } from "node:assert";
import { After, Given, Then, When } from "@cucumber/cucumber";
import { pauseClock, type PausedClock } from "@trefoildoor/testing";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import {
  Effect,
  type ListedEndpoint,
  RemoteError,
  RemoteFailure,
  type TopicPage,
  type TopicRecord,
  type WritableTopic,
} from "../../types/index.ts";
import {
  keepVersionRecord,
  originRetentionMs,
  type RecordedVersion,
  type VersionRecord,
} from "./index.ts";

/** One instance of a scenario. */
interface RecordInstance {
  record: VersionRecord;
  stop: AbortController;
  /** Versions in its list. */
  versions: readonly string[];
}

/** State of one scenario. */
interface RecordWorld {
  recordClock?: PausedClock;
  keepers: RecordInstance[];
  log: TopicRecord<RecordedVersion>[];
  away: boolean;
  listAge: number;
  writers: number;
  generator: ReturnType<typeof xoroshiro128plus>;
}

const service = "models";
const seed = 25;
const answerMs = 4;

After(function (this: RecordWorld): void {
  for (const { stop } of this.keepers ?? []) stop.abort();
  this.recordClock?.uninstall();
});

Given(
  "{int} instances that keep a record of the versions {string}",
  function (this: RecordWorld, count: number, versions: string): void {
    this.recordClock = pauseClock();
    this.log = [];
    this.away = false;
    this.listAge = 0;
    this.writers = Infinity;
    this.generator = xoroshiro128plus(seed);
    this.keepers = [];
    for (let index = 0; index < count; index++) {
      this.keepers.push(
        openInstance(this, { index, versions: versions.split(", ") }),
      );
    }
  },
);

Given("only the first instance writes", function (this: RecordWorld): void {
  this.writers = 1;
});

Given("the store of the record is away", function (this: RecordWorld): void {
  this.away = true;
});

When("the store of the record is back", function (this: RecordWorld): void {
  this.away = false;
});

When(
  "the store of the record comes back empty",
  function (this: RecordWorld): void {
    this.log = [];
    for (const { record } of this.keepers) record.markRestored();
  },
);

When(
  /^the versions "(.+)" are listed( at the first instance only)?$/,
  function (this: RecordWorld, versions: string, first: string | null): void {
    for (const each of first ? this.keepers.slice(0, 1) : this.keepers) {
      each.versions = versions.split(", ");
    }
  },
);

When(
  /^streams begin at the version "(.+)" at (all|the first) instances?$/,
  function (this: RecordWorld, version: string, which: string): void {
    const count = which === "all" ? this.keepers.length : 1;
    for (const { record } of this.keepers.slice(0, count)) {
      record.addBegun({ service, version });
    }
  },
);

When(
  "the list of the record is {int} ms old",
  function (this: RecordWorld, ageMs: number): void {
    this.listAge = ageMs;
  },
);

When(
  "{int} ms pass for the record",
  async function (this: RecordWorld, ms: number): Promise<void> {
    await this.recordClock?.tickAsync(ms);
  },
);

When("all instances start again", function (this: RecordWorld): void {
  this.keepers = this.keepers.map(({ stop, versions }, index) => {
    stop.abort();
    return openInstance(this, { index, versions });
  });
});

Then(
  "the record has the versions {string}",
  function (this: RecordWorld, versions: string): void {
    const newest = new Map(this.log.map(({ key, value }) => [key, value]));
    const stored = [...newest.values()].flatMap((each) => each?.version ?? []);
    assert.deepEqual(stored.toSorted(), versions.split(", "));
  },
);

Then(
  "each version was written at most {int} times",
  function (this: RecordWorld, most: number): void {
    assert.ok(this.log.length <= most, String(this.log.length));
  },
);

Then(
  "all instances know the versions {string}",
  function (this: RecordWorld, versions: string): void {
    for (const { record } of this.keepers) {
      assert.deepEqual(
        [...record.list(service) ?? []].toSorted(),
        versions.split(", "),
      );
    }
  },
);

Then("no instance knows a version", function (this: RecordWorld): void {
  for (const { record } of this.keepers) {
    assert.equal(record.list(service), undefined);
  }
});

function openInstance(
  world: RecordWorld,
  options: { readonly index: number; readonly versions: readonly string[] },
): RecordInstance {
  const stop = new AbortController();
  const instance: Omit<RecordInstance, "record"> = {
    stop,
    versions: options.versions,
  };
  const record = keepVersionRecord({
    topic: openTopic(world),
    listEndpoints: () => instance.versions.map(buildEndpoint),
    getListAgeMs: () => world.listAge,
    isWriter: () => options.index < world.writers,
    retentionMs: originRetentionMs,
    random: () => uniformFloat64(world.generator),
    logEvent: () => undefined,
    signal: stop.signal,
  });
  return Object.assign(instance, { record });
}

/** Topic whose calls take some time, at the end of which they take effect. */
function openTopic(world: RecordWorld): WritableTopic<RecordedVersion> {
  async function answer(): Promise<void> {
    await new Promise((resolve) => setTimeout(resolve, answerMs));
    if (!world.away) return;
    throw new RemoteError("store is away", {
      failure: RemoteFailure.Unreachable,
      effect: Effect.None,
    });
  }
  return {
    async fetchNewest(): Promise<TopicPage<RecordedVersion>> {
      await answer();
      const newest = new Map(world.log.map((each) => [each.key, each]));
      return {
        records: [...newest.values()].filter(({ value }) => value),
        next: world.log.length,
      };
    },
    read: () => Promise.reject(new Error("not used")),
    async append({ key, value }, { ifEnd } = {}): Promise<number | undefined> {
      await answer();
      if (ifEnd !== undefined && ifEnd !== world.log.length) return undefined;
      return world.log.push({ key, value, offset: world.log.length }) - 1;
    },
  };
}

function buildEndpoint(softwareVersion: string): ListedEndpoint {
  return {
    name: softwareVersion,
    service,
    address: "10.0.0.1:1",
    failureDomain: "sapporo",
    slots: 64,
    leaving: false,
    softwareVersion,
  };
}
