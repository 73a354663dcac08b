/** Steps of `fleet_view.feature`. */
import { strict as assert } from "node:assert";
import { After, Given, Then, When } from "@cucumber/cucumber";
import {
  type ListedEndpoint,
  type PeerDigest,
  type ReadableTopic,
  type TopicPage,
  type TopicRecord,
  waitFor,
  type WritableTopic,
} from "@trefoildoor/core";
import { pauseClock, type PausedClock } from "@trefoildoor/testing";
import { createChannels } from "./channels.ts";
import { type FleetView, openFleetView } from "./fleet_view.ts";
import type { FleetState } from "./peer_link.ts";
import { entrySettingsSchema } from "./settings.ts";

/** State of one scenario. */
interface ViewWorld {
  viewClock?: PausedClock;
  stopView?: AbortController;
  view: FleetView;
  /** Records of the list's topic. */
  listRecords: TopicRecord<ListedEndpoint>[];
  /** When the instance last read the list itself, in ms of the paused clock. */
  listReadMs: number;
  simulatedReader: SimulatedReader;
}

/** Another instance that reads the store every second and sends a digest after each read. */
interface SimulatedReader {
  readonly name: string;
  /** Offset of its clock from the instance's, in ms. */
  readonly clockOffsetMs: number;
  delayMs: number;
  delayGrowthMs: number;
  maxDelayMs: number;
  sequence: number;
  /** Whether its digests are lost. */
  silent: boolean;
  /** Whether another instance can fetch its state. */
  handsOverState: boolean;
  /** Offset from which on its digests contain the changes; undefined if they contain none. */
  updateFrom: number | undefined;
}

const readIntervalMs = 1_000;
const usualDelayMs = 5;
const service = "drafting";

After(function (this: ViewWorld): void {
  this.stopView?.abort();
  this.viewClock?.uninstall();
});

function buildEndpoint(name: string, leaving: boolean): ListedEndpoint {
  return {
    name,
    service,
    address: "10.0.0.9:80",
    failureDomain: "sapporo",
    slots: 4,
    leaving,
    startedAtMs: 1,
  };
}

function createEmptyTopic<Value>(): WritableTopic<Value> {
  return {
    fetchNewest: () => Promise.resolve({ records: [], next: 0 }),
    async read(from, { waitMs, signal }): Promise<TopicPage<Value>> {
      await waitFor(waitMs, signal);
      return { records: [], next: from };
    },
    append: () => Promise.resolve(0),
  };
}

function openList(world: ViewWorld): ReadableTopic<ListedEndpoint> {
  return {
    fetchNewest: () =>
      Promise.resolve({
        records: world.listRecords,
        next: world.listRecords.length,
      }),
    read(from): Promise<TopicPage<ListedEndpoint>> {
      world.listReadMs = performance.now();
      return Promise.resolve({
        records: world.listRecords.slice(from),
        next: world.listRecords.length,
      });
    },
  };
}

function buildReaderDigest(world: ViewWorld): PeerDigest {
  const { simulatedReader: reader, listRecords } = world;
  return {
    name: reader.name,
    address: "10.0.0.1:1",
    failureDomain: "sapporo",
    start: "first",
    sequence: reader.sequence += 1,
    sentMs: performance.now() + reader.clockOffsetMs,
    version: 0,
    listNext: listRecords.length,
    listChanged: listRecords.length,
    listAgeMs: 0,
    readsStore: true,
    loads: {},
    reads: { sent: {}, computed: {} },
    down: {},
    changing: [],
    stopping: false,
    update: reader.updateFrom === undefined ? undefined : {
      from: reader.updateFrom,
      records: listRecords.slice(reader.updateFrom),
    },
  };
}

/** Sends a digest each second, which arrives after the reader's current delay. */
async function runReader(world: ViewWorld, signal: AbortSignal): Promise<void> {
  const { simulatedReader: reader } = world;
  while (!signal.aborted) {
    const digest = buildReaderDigest(world);
    const endpoints = world.listRecords.flatMap(({ value }) => value ?? []);
    const fetchState = (): Promise<FleetState> =>
      reader.handsOverState
        ? Promise.resolve({
          endpoints: {
            next: digest.listNext,
            changed: digest.listChanged,
            endpoints,
            lapsed: [],
          },
        })
        : Promise.reject(new Error("state is not handed over"));
    if (!reader.silent) {
      setTimeout(
        () => world.view.acceptDigest(digest, fetchState),
        reader.delayMs,
      );
    }
    reader.delayMs = Math.min(
      reader.delayMs + reader.delayGrowthMs,
      reader.maxDelayMs,
    );
    await waitFor(readIntervalMs, signal);
  }
}

Given(
  "an instance that relies on the reads of {string} and lists {string}",
  async function (
    this: ViewWorld,
    reader: string,
    endpoint: string,
  ): Promise<void> {
    this.viewClock = pauseClock();
    this.stopView = new AbortController();
    this.listRecords = [
      { key: endpoint, value: buildEndpoint(endpoint, false), offset: 0 },
    ];
    this.listReadMs = -Infinity;
    this.simulatedReader = {
      name: reader,
      clockOffsetMs: 123_456,
      delayMs: usualDelayMs,
      delayGrowthMs: 0,
      maxDelayMs: usualDelayMs,
      sequence: 0,
      silent: false,
      handsOverState: true,
      updateFrom: undefined,
    };
    this.view = openFleetView({
      settings: entrySettingsSchema.parse({
        instance: "a2",
        failure_domain: "sapporo",
        callers: "10.0.0.2:1",
        readiness: "10.0.0.2:2",
        peers: "10.0.0.2:3",
        store: "10.0.0.3:1",
        leaving_ms: 3_000,
      }),
      topics: {
        configuration: createEmptyTopic(),
        instances: createEmptyTopic(),
        duties: createEmptyTopic(),
        crashes: createEmptyTopic(),
        endpoints: openList(this),
      },
      channels: createChannels(),
      onVersion: () => undefined,
      onUpdate: () => undefined,
      onCrashEvidence: () => undefined,
      onStoreRestored: () => undefined,
      onListRead: () => undefined,
      onDigestDelay: () => undefined,
      fetchOrigin: () => Promise.resolve(undefined),
      isStopping: () => false,
      logEvent: () => undefined,
      signal: this.stopView.signal,
    });
    void runReader(this, this.stopView.signal);
    await this.viewClock.tickAsync(100);
  },
);

When(
  "the digests of {string} take {int} ms longer each second, up to {int} ms",
  function (
    this: ViewWorld,
    _name: string,
    growthMs: number,
    mostMs: number,
  ): void {
    this.simulatedReader.delayGrowthMs = growthMs;
    this.simulatedReader.maxDelayMs = mostMs;
  },
);

When(
  "{string} sends its changes with its digests and hands over no state",
  function (this: ViewWorld, _name: string): void {
    this.simulatedReader.updateFrom = this.listRecords.length;
    this.simulatedReader.handsOverState = false;
  },
);

When("{string} hands over no state", function (
  this: ViewWorld,
  _name: string,
): void {
  this.simulatedReader.handsOverState = false;
});

When(
  "{string} sends only its newest change with its digests",
  function (this: ViewWorld, _name: string): void {
    this.simulatedReader.silent = false;
    this.simulatedReader.updateFrom = this.listRecords.length;
  },
);

When(
  "the digests of {string} are lost",
  function (this: ViewWorld, _name: string): void {
    this.simulatedReader.silent = true;
  },
);

When("{string} is leaving", function (this: ViewWorld, name: string): void {
  this.listRecords.push({
    key: name,
    value: buildEndpoint(name, true),
    offset: this.listRecords.length,
  });
});

When(
  "{int} ms pass for the instance",
  async function (this: ViewWorld, ms: number): Promise<void> {
    await this.viewClock?.tickAsync(ms);
  },
);

Then(
  "the instance sends {string} no new work",
  function (this: ViewWorld, name: string): void {
    const accepting = this.view.endpoints.listAccepting(service);
    assert.ok(!accepting.some((endpoint) => endpoint.name === name));
  },
);

Then(
  "the instance has not read the list for {int} ms",
  function (this: ViewWorld, ms: number): void {
    assert.ok(performance.now() - this.listReadMs >= ms);
  },
);

Then(
  "the instance lists {string}",
  function (this: ViewWorld, names: string): void {
    const listed = this.view.endpoints.listAll().map(({ name }) => name);
    assert.equal(listed.toSorted().join(", "), names);
  },
);
