/** Steps of `relay_load.feature`. */
import { strict as assert } from "node:assert";
import { After, Given, Then, When } from "@cucumber/cucumber";
import {
  createPeerRegistry,
  type PeerAddress,
  type PeerRegistry,
  waitFor,
} from "@trefoildoor/core";
import { waitUntil } from "@trefoildoor/testing";
import { type Channels, createChannels } from "./channels.ts";
import { buildBusyDigest, createBusyNews } from "./digests.test.ts";
import { DigestTraffic, openPeerLink, type PeerLink } from "./peer_link.ts";

/** One instance of the fleet. */
interface LoadedInstance {
  readonly peers: PeerRegistry;
  readonly link: PeerLink;
  sentBytes: number;
}

/** State of one scenario. */
interface LoadWorld {
  loaded?: LoadedInstance[];
  loadChannels?: Channels;
  stopLoad?: AbortController;
  loadedSeconds: number;
}

const changeIntervalMs = 100;
const msPerSecond = 1_000;
const settleMs = 15_000;
/** Loopback addresses and a port of this run's own, as several runs may share the machine. */
const network = 16 + Math.floor(Math.random() * 200);
const port = 20_000 + Math.floor(Math.random() * 10_000);

After(function (this: LoadWorld): void {
  this.stopLoad?.abort();
  for (const { link } of this.loaded ?? []) link.close();
  this.loadChannels?.close();
});

async function openLoaded(
  world: LoadWorld,
  self: PeerAddress,
): Promise<LoadedInstance> {
  assert.ok(world.stopLoad && world.loadChannels);
  const peers = createPeerRegistry({
    instance: self.name,
    logEvent: () => undefined,
  });
  let sequence = 0;
  const collectCrashes = createBusyNews();
  const link = await openPeerLink({
    failureDomain: self.failureDomain,
    address: self.address,
    peers,
    channels: world.loadChannels,
    buildDigest: () => buildBusyDigest(self, { sequence: sequence += 1 }),
    findOrigin: () => undefined,
    collectNews: () => ({ crashes: collectCrashes() }),
    getState: () => ({
      endpoints: { next: 0, changed: 0, endpoints: [], lapsed: [] },
    }),
    onDigest: (digest) => void peers.acceptDigest(digest),
    onPlacements: () => undefined,
    onFailure: (error) => assert.fail(String(error)),
    onTraffic: (traffic, bytes) => {
      if (traffic !== DigestTraffic.Received) instance.sentBytes += bytes;
    },
    signal: world.stopLoad.signal,
  });
  const instance: LoadedInstance = { peers, link, sentBytes: 0 };
  return instance;
}

Given(
  "{int} failure domains with {int} instances each whose load changes all the time",
  async function (
    this: LoadWorld,
    domains: number,
    instances: number,
  ): Promise<void> {
    this.stopLoad = new AbortController();
    this.loadChannels = createChannels();
    const { signal } = this.stopLoad;
    const addresses = Array.from(
      { length: domains * instances },
      (_, index): PeerAddress => {
        const domain = index % domains;
        const number = Math.floor(index / domains) + 1;
        return {
          name: `front-santiago-${"abc"[domain]}-${number}`,
          failureDomain: `santiago-${"abc"[domain]}`,
          address: `127.${network}.${domain}.${number}:${port}`,
        };
      },
    );
    this.loaded = [];
    for (const self of addresses) {
      this.loaded.push(await openLoaded(this, self));
    }
    for (const { peers, link } of this.loaded) {
      for (const address of addresses) peers.register(address);
      link.scheduleDigest();
    }
    await waitUntil(
      "all instances are heard",
      () => hasEachHeardAll(this),
      { deadlineMs: settleMs },
    );
    void changeLoads(this, signal);
  },
);

function hasEachHeardAll({ loaded = [] }: LoadWorld): boolean {
  return loaded.every(({ peers }) => peers.countInstances() === loaded.length);
}

async function changeLoads(
  { loaded = [] }: LoadWorld,
  signal: AbortSignal,
): Promise<void> {
  while (!signal.aborted) {
    for (const { link } of loaded) link.scheduleDigest();
    await waitFor(changeIntervalMs, signal);
  }
}

When(
  "they exchange digests for {int} s",
  { timeout: 20_000 },
  async function (this: LoadWorld, seconds: number): Promise<void> {
    for (const instance of this.loaded ?? []) instance.sentBytes = 0;
    this.loadedSeconds = seconds;
    await waitFor(seconds * msPerSecond);
  },
);

Then(
  "no instance has sent more than {int} bytes of digests a second",
  function (this: LoadWorld, mostBytes: number): void {
    const sent = (this.loaded ?? []).map(({ sentBytes }) => sentBytes);
    const highest = Math.round(Math.max(...sent) / this.loadedSeconds);
    assert.ok(highest <= mostBytes, `${highest} bytes a second`);
  },
);

Then(
  "every instance has heard all others",
  function (this: LoadWorld): void {
    assert.ok(hasEachHeardAll(this));
  },
);
