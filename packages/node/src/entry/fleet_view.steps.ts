/** Steps of `fleet_view.feature`. */
import { strict as assert } from "node:assert";
import { After, Given, Then, When } from "@cucumber/cucumber";
import { startRunningClock } from "@trefoildoor/core";
import { pauseClock } from "@trefoildoor/testing";
import { createChannels } from "./channels.ts";
import { openFleetView } from "./fleet_view.ts";
import {
  buildEndpoint,
  buildReaderDigest,
  createEmptyTopic,
  openList,
  runReader,
  service,
  type ViewWorld,
} from "./fleet_view_world.test.ts";
import { entrySettingsSchema } from "./settings.ts";

const usualDelayMs = 5;

After(function (this: ViewWorld): void {
  this.stopView?.abort();
  this.viewClock?.uninstall();
});

Given(
  "a store of the era {int} that answers after {int} ms",
  function (this: ViewWorld, era: number, delayMs: number): void {
    this.storeEra = era;
    this.storeDelayMs = delayMs;
  },
);

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
        configuration_ms: 2_000,
      }),
      topics: {
        configuration: createEmptyTopic(this),
        instances: createEmptyTopic(this),
        duties: createEmptyTopic(this),
        operator: createEmptyTopic(this),
        crashes: createEmptyTopic(this),
        versions: createEmptyTopic(this),
        endpoints: openList(this),
      },
      channels: createChannels(),
      clock: startRunningClock(),
      onVersion: () => undefined,
      onUpdate: () => undefined,
      onCrashEvidence: () => undefined,
      onStoreRestored: () => {
        this.restored = (this.restored ?? 0) + 1;
      },
      onListRead: (update) => {
        this.passedOn = update;
        this.passedOnMs = performance.now();
      },
      onDigestDelay: () => {
        this.onNextDigest?.();
        this.onNextDigest = undefined;
      },
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

When(
  "the digests of {string} state the era {int}",
  function (this: ViewWorld, _name: string, era: number): void {
    this.simulatedReader.era = era;
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

When(
  "the instance cannot read the store and the digests of {string} are lost",
  function (this: ViewWorld, _name: string): void {
    this.simulatedReader.silent = true;
    this.storeFails = true;
  },
);

When("the instance can read the store again", function (
  this: ViewWorld,
): void {
  this.storeFails = false;
  this.regainedMs = performance.now();
});

Then("no change is missing in what the instance has passed on", function (
  this: ViewWorld,
): void {
  assert.ok((this.passedOnMs ?? 0) > (this.regainedMs ?? Infinity));
  if (!this.passedOn) return;
  const { from, records } = this.passedOn;
  const missing = this.listRecords.slice(from).filter(({ offset }) =>
    !records.some((record) => record.offset === offset)
  );
  assert.deepEqual(missing, []);
});

When("another failure domain tells of it", function (this: ViewWorld): void {
  const digest = {
    ...buildReaderDigest(this),
    name: "b1",
    failureDomain: "otaru",
  };
  const endpoints = this.listRecords.flatMap(({ value }) => value ?? []);
  this.fetchedFar = 0;
  this.view.acceptDigest(digest, () => {
    this.fetchedFar = (this.fetchedFar ?? 0) + 1;
    const { listNext: next, listChanged: changed } = digest;
    return Promise.resolve({
      endpoints: { next, changed, endpoints, lapsed: [] },
    });
  });
});

Then(
  "the instance has fetched {int} states from there",
  function (this: ViewWorld, count: number): void {
    assert.equal(this.fetchedFar, count);
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

When(
  "the instance stands still for {int} ms while it takes in a digest",
  async function (this: ViewWorld, ms: number): Promise<void> {
    this.onNextDigest = () => this.viewClock?.setSystemTime(Date.now() + ms);
    this.storeFails = true;
    while (this.onNextDigest) await this.viewClock?.tickAsync(1);
  },
);

Then(
  "the list of the instance is at least {int} ms old",
  function (this: ViewWorld, ms: number): void {
    assert.ok(this.view.getListAgeMs() >= ms, `${this.view.getListAgeMs()} ms`);
    assert.equal(this.view.listing.isCurrent(), false);
  },
);

Then(
  "the store has counted as restored {int} times",
  function (this: ViewWorld, times: number): void {
    assert.equal(this.restored ?? 0, times);
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
