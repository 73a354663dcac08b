/** Steps of `list_updates.feature`. */
import { strict as assert } from "node:assert";
import { After, Given, Then, When } from "@cucumber/cucumber";
import { pauseClock, type PausedClock } from "@trefoildoor/testing";
import type { ListedEndpoint, TopicRecord } from "../../types/index.ts";
import { createListUpdates, type ListUpdates } from "./index.ts";

/** State of one scenario. */
interface UpdatesWorld {
  updatesClock?: PausedClock;
  listUpdates: ListUpdates;
}

After(function (this: UpdatesWorld): void {
  this.updatesClock?.uninstall();
});

function buildRecord(
  key: string,
  offset: number,
): TopicRecord<ListedEndpoint> {
  return { key, value: undefined, offset };
}

Given("an instance that reads the list", function (this: UpdatesWorld): void {
  this.updatesClock = pauseClock();
  this.listUpdates = createListUpdates();
});

When(
  /^(?:it reads|a peer has read) "([^"]*)" from offset (\d+) (as|without) a change$/,
  function (
    this: UpdatesWorld,
    name: string,
    from: string,
    kind: string,
  ): void {
    const offset = Number(from);
    const records = [buildRecord(name, offset)];
    this.listUpdates.add({ records, next: offset + 1, whole: false }, {
      from: offset,
      changed: kind === "as",
    });
  },
);

When(
  "it reads {int} endpoints from offset {int} as a change",
  function (this: UpdatesWorld, count: number, from: number): void {
    const records = Array.from(
      { length: count },
      (_, index) => buildRecord(`engine-${index}`, from + index),
    );
    this.listUpdates.add({ records, next: from + count, whole: false }, {
      from,
      changed: true,
    });
  },
);

When("a peer has found no change up to offset {int}", function (
  this: UpdatesWorld,
  next: number,
): void {
  this.listUpdates.advanceTo(next);
});

When("it takes the list up to offset {int} from a peer", function (
  this: UpdatesWorld,
  next: number,
): void {
  this.listUpdates.restartAt(next);
});

When("it reads the whole list", function (this: UpdatesWorld): void {
  this.listUpdates.add({ records: [], next: 9, whole: true }, {
    from: 6,
    changed: true,
  });
});

When(
  "{int} ms pass for the updates",
  function (this: UpdatesWorld, ms: number): void {
    this.updatesClock?.tick(ms);
  },
);

Then(
  "the update holds {string} from offset {int}",
  function (this: UpdatesWorld, names: string, from: number): void {
    const update = this.listUpdates.get();
    assert.equal(update?.from, from);
    assert.equal(update.records.map(({ key }) => key).join(", "), names);
  },
);

Then("there is no update", function (this: UpdatesWorld): void {
  assert.equal(this.listUpdates.get(), undefined);
});
