/** Steps of `endpoint_list.feature`. */
import { strict as assert } from "node:assert";
import { After, Given, Then, When } from "@cucumber/cucumber";
import { pauseClock, type PausedClock } from "@trefoildoor/testing";
import type { ListedEndpoint } from "../../types/index.ts";
import { createEndpointList, type EndpointList } from "./index.ts";

/** State of one scenario. */
interface ListWorld {
  listClock?: PausedClock;
  list: EndpointList;
  offset: number;
  returnedMs: number;
  ended: string[];
}

const service = "desk";

After(function (this: ListWorld): void {
  this.listClock?.uninstall();
});

function parseEndpoints(text: string): readonly ListedEndpoint[] {
  return text.split(", ").map((part) => {
    const [name = "", ...words] = part.split(" ");
    const sequence = words.find((word) => /^\d+$/.test(word));
    return {
      name,
      service,
      address: "10.0.0.1:80",
      failureDomain: "sapporo",
      slots: 6,
      leaving: words.includes("leaving"),
      startedAtMs: words.includes("restarted") ? 2 : 1,
      sequence: sequence === undefined ? undefined : Number(sequence),
    };
  });
}

function applyRecords(
  world: ListWorld,
  records: readonly { key: string; value: ListedEndpoint | undefined }[],
  options: { readonly whole: boolean },
): void {
  const numbered = records.map((record) => ({
    ...record,
    offset: world.offset++,
  }));
  world.list.apply({ records: numbered, next: world.offset, ...options });
}

function applyEndpoints(
  world: ListWorld,
  text: string,
  options: { readonly whole: boolean },
): void {
  const records = parseEndpoints(text).map((value) => ({
    key: value.name,
    value,
  }));
  applyRecords(world, records, options);
}

function mergeEndpoints(
  world: ListWorld,
  text: string,
  { next, lapsed }: {
    readonly next: number;
    readonly lapsed: readonly string[];
  },
): void {
  const endpoints = parseEndpoints(text);
  world.list.merge({ next, changed: next, endpoints, lapsed });
}

Given(
  "a list of endpoints with {string} from the store",
  function (this: ListWorld, names: string): void {
    this.listClock = pauseClock();
    this.offset = 0;
    this.ended = [];
    this.returnedMs = -Infinity;
    this.list = createEndpointList({
      getSinceRecoveryMs: () => performance.now() - this.returnedMs,
      onReplaced: ({ name }) => this.ended.push(name),
      logEvent: () => undefined,
    });
    applyEndpoints(this, names, { whole: true });
  },
);

When(
  "the store shows {string}",
  function (this: ListWorld, text: string): void {
    applyEndpoints(this, text, { whole: false });
  },
);

When(
  "{string} says that it leaves",
  function (this: ListWorld, name: string): void {
    for (const endpoint of parseEndpoints(name)) {
      this.list.recordLeaving(endpoint);
    }
  },
);

When(
  "a peer tells that {string} leaves",
  function (this: ListWorld, name: string): void {
    this.list.applyLeaving({ [name]: 1 }, "peer");
  },
);

Then(
  "peers are told that {string} leaves",
  function (this: ListWorld, name: string): void {
    assert.deepEqual(this.list.collectLeaving(), { [name]: 1 });
  },
);

Then(
  "peers are told of no endpoint that leaves",
  function (this: ListWorld): void {
    assert.equal(this.list.collectLeaving(), undefined);
  },
);

Then(
  "the list for another instance shows no endpoint that leaves",
  function (this: ListWorld): void {
    const { endpoints } = this.list.getSnapshot();
    assert.deepEqual(endpoints.filter(({ leaving }) => leaving), []);
  },
);

When(
  "the store is read anew and shows {string}",
  function (this: ListWorld, text: string): void {
    applyEndpoints(this, text, { whole: true });
  },
);

When(
  "the store is read anew up to offset {int}, with {string} at offset {int}",
  function (
    this: ListWorld,
    next: number,
    text: string,
    offset: number,
  ): void {
    const records = parseEndpoints(text).map((value) => ({
      key: value.name,
      value,
      offset,
    }));
    this.list.apply({ records, next, whole: true });
  },
);

Then("a peer at offset {int} sees that it misses a change", function (
  this: ListWorld,
  next: number,
): void {
  assert.ok(this.list.getOffsets().changed > next);
});

When(
  "the store removes {string}",
  function (this: ListWorld, key: string): void {
    applyRecords(this, [{ key, value: undefined }], { whole: false });
  },
);

When(
  "the store comes back after an outage",
  function (this: ListWorld): void {
    this.returnedMs = performance.now();
  },
);

When(
  "{int} ms pass for the list",
  function (this: ListWorld, ms: number): void {
    this.listClock?.tick(ms);
  },
);

When(
  "another instance knows {string} up to offset {int}",
  function (this: ListWorld, text: string, next: number): void {
    mergeEndpoints(this, text, { next, lapsed: [] });
  },
);

When(
  "another instance knows {string} up to offset {int}, of which {string} has lapsed",
  function (
    this: ListWorld,
    text: string,
    next: number,
    lapsed: string,
  ): void {
    mergeEndpoints(this, text, { next, lapsed: [lapsed] });
  },
);

When(
  "another instance has read on to offset {int}",
  function (this: ListWorld, next: number): void {
    this.list.advanceTo(next);
  },
);

Then(
  "the list has changed up to offset {int} and is read up to offset {int}",
  function (this: ListWorld, changed: number, next: number): void {
    const snapshot = this.list.getSnapshot();
    assert.deepEqual(
      { changed: snapshot.changed, next: snapshot.next },
      { changed, next },
    );
  },
);

Then(
  "the endpoints that take work are {string}",
  function (this: ListWorld, names: string): void {
    const taking = this.list.listAccepting(service).map(({ name }) => name);
    assert.equal(taking.toSorted().join(", "), names);
  },
);

Then(
  "the endpoints that are known are {string}",
  function (this: ListWorld, names: string): void {
    const known = this.list.listAll().map(({ name }) => name);
    assert.equal(known.toSorted().join(", "), names);
  },
);

Then(
  "the endpoints whose process ended are {string}",
  function (this: ListWorld, names: string): void {
    assert.equal(this.ended.join(", "), names);
  },
);
