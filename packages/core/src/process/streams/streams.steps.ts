/** Steps of `streams.feature`. */
import { strict as assert } from "node:assert";
import { After, Given, Then, When } from "@cucumber/cucumber";
import { pauseClock, type PausedClock } from "@trefoildoor/testing";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import type { ListedEndpoint } from "../../types/index.ts";
import {
  createStreamOrigins,
  type OriginReports,
  type StreamOrigin,
  type StreamOrigins,
} from "./index.ts";

/** One instance of a scenario. */
interface StreamInstance {
  origins: StreamOrigins;
  ended: boolean;
}

/** State of one scenario. */
interface StreamsWorld {
  streamsClock?: PausedClock;
  instances: StreamInstance[];
  endpoints: readonly ListedEndpoint[];
  listAgeMs: number;
  /** Versions in the stored record; undefined if it cannot be read. */
  stored: readonly string[] | undefined;
  /** Endpoints that the store lists and the instances have not read yet; undefined if it cannot be read. */
  unread: readonly ListedEndpoint[] | undefined;
  /** Version that began each stream, by the id of its call. */
  begun: Map<string, string>;
}

const service = "models";
const seed = 25;
const digestIntervalMs = 450;
const digestRounds = 8;

After(function (this: StreamsWorld): void {
  this.streamsClock?.uninstall();
});

Given(
  "{int} instances, and a service with the versions {string}",
  function (this: StreamsWorld, count: number, versions: string): void {
    this.streamsClock = pauseClock();
    this.begun = new Map();
    this.listAgeMs = 0;
    this.stored = [];
    this.unread = [];
    setVersions(this, versions);
    this.instances = Array.from({ length: count }, () => ({
      origins: openOrigins(this),
      ended: false,
    }));
  },
);

Given("a stream that no instance knows", function (this: StreamsWorld): void {
  this.begun.set("unknown", "");
});

When(
  "the service has the versions {string}",
  function (this: StreamsWorld, versions: string): void {
    setVersions(this, versions);
  },
);

When(
  "the stored record has the versions {string}",
  function (this: StreamsWorld, versions: string): void {
    this.stored = versions === "" ? [] : versions.split(", ");
  },
);

When(
  "the stored record cannot be read",
  function (this: StreamsWorld): void {
    this.stored = undefined;
  },
);

When(
  "an endpoint of the version {string} is listed that no instance has read yet",
  function (this: StreamsWorld, softwareVersion: string): void {
    const [endpoint] = this.endpoints;
    assert.ok(endpoint);
    this.unread = [{ ...endpoint, name: "unread", softwareVersion }];
  },
);

When("the store cannot be read for the streams", function (
  this: StreamsWorld,
): void {
  this.unread = undefined;
});

When(
  "the list of endpoints is {int} ms old",
  function (this: StreamsWorld, ageMs: number): void {
    this.listAgeMs = ageMs;
  },
);

When(
  "{int} streams begin at the versions in turn, at the instances in turn",
  function (this: StreamsWorld, count: number): void {
    for (let each = 0; each < count; each++) {
      startStream(this, each, { at: each % this.instances.length });
    }
  },
);

When(
  "{int} streams begin at the first instance",
  function (this: StreamsWorld, count: number): void {
    for (let each = 0; each < count; each++) {
      startStream(this, each, { at: 0 });
    }
  },
);

When(
  "digests are exchanged, of which {float} are lost",
  async function (this: StreamsWorld, lost: number): Promise<void> {
    const generator = xoroshiro128plus(seed);
    for (let round = 0; round < digestRounds; round++) {
      await this.streamsClock?.tickAsync(digestIntervalMs);
      for (const sender of this.instances) {
        const reports = sender.origins.collectReports();
        if (!reports) continue;
        for (const receiver of this.instances) {
          if (receiver === sender || uniformFloat64(generator) < lost) continue;
          receiver.origins.applyReports(reports, "peer");
        }
      }
    }
  },
);

When(
  "the first {int} instances end",
  function (this: StreamsWorld, count: number): void {
    for (const instance of this.instances.slice(0, count)) {
      instance.ended = true;
    }
  },
);

When(
  "all but the last instance start again",
  function (this: StreamsWorld): void {
    for (const instance of this.instances.slice(0, -1)) {
      instance.origins = openOrigins(this);
    }
  },
);

When(
  "{int} ms pass for the streams",
  async function (this: StreamsWorld, ms: number): Promise<void> {
    // The list is looked at with every digest.
    for (const { origins } of this.instances) await resolve(origins, "any");
    await this.streamsClock?.tickAsync(ms);
  },
);

Then(
  "the others take all streams up at the versions that began them",
  async function (this: StreamsWorld): Promise<void> {
    const running = this.instances.filter(({ ended }) => !ended);
    for (const { origins } of running) await assertKnown(this, origins);
  },
);

Then(
  "the first instance takes all streams up at the versions that began them",
  async function (this: StreamsWorld): Promise<void> {
    const [first] = this.instances;
    assert.ok(first);
    await assertKnown(this, first.origins);
  },
);

Then(
  /^the stream (?:goes on at (.+)|must not go on)$/,
  async function (this: StreamsWorld, version: string | null): Promise<void> {
    for (const { origins } of this.instances) {
      const origin = await resolve(origins, "unknown");
      assert.equal(origin?.version, version ?? undefined);
    }
  },
);

Then("no digest reports a stream", function (this: StreamsWorld): void {
  for (const { origins } of this.instances) {
    assert.equal(origins.collectReports(), undefined);
  }
});

Then(
  "each instance knows at most {int} streams",
  function (this: StreamsWorld, most: number): void {
    for (const { origins } of this.instances) {
      assert.ok(origins.count() <= most, String(origins.count()));
    }
  },
);

Then(
  "a digest reports at most {int} streams",
  function (this: StreamsWorld, most: number): void {
    const reports: OriginReports =
      this.instances[0]?.origins.collectReports() ?? {};
    const keys = Object.values(reports).flatMap((versions) =>
      Object.values(versions).flat()
    );
    assert.ok(keys.length > 0 && keys.length <= most, String(keys.length));
  },
);

function setVersions(world: StreamsWorld, versions: string): void {
  world.endpoints = versions.split(", ").map((softwareVersion, index) => ({
    name: `d${index}`,
    service,
    address: "10.0.0.1:1",
    failureDomain: "sapporo",
    slots: 64,
    leaving: false,
    softwareVersion,
  }));
}

/** Opens the record of an instance, which asks the instances that run. */
function openOrigins(world: StreamsWorld): StreamOrigins {
  const origins = createStreamOrigins({
    listEndpoints: () => world.endpoints,
    getListAgeMs: () => world.listAgeMs,
    listStored: () => world.stored,
    addStored: () => undefined,
    readChanges: () => Promise.resolve(world.unread),
    askPeers: (key) =>
      Promise.resolve(
        world.instances
          .filter((peer) => !peer.ended && peer.origins !== origins)
          .map((peer) => peer.origins.findByKey(key))
          .find((found) => found !== undefined),
      ),
    logEvent: () => undefined,
  });
  return origins;
}

function startStream(
  world: StreamsWorld,
  index: number,
  { at }: { readonly at: number },
): void {
  const endpoint = world.endpoints[index % world.endpoints.length];
  assert.ok(endpoint);
  const call = `call-${index}`;
  world.begun.set(call, endpoint.softwareVersion ?? "");
  world.instances[at]?.origins.recordBegun(call, endpoint);
}

function resolve(
  origins: StreamOrigins,
  resumes: string,
): Promise<StreamOrigin | undefined> {
  return origins.resolve({ call: "later", resumes, services: [service] });
}

async function assertKnown(
  { begun }: StreamsWorld,
  origins: StreamOrigins,
): Promise<void> {
  for (const [call, version] of begun) {
    assert.deepEqual(await resolve(origins, call), { service, version });
  }
}
