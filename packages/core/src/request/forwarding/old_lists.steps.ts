/** Steps of `old_lists.feature`. */
import { strict as assert } from "node:assert";
import { Given, Then, When } from "@cucumber/cucumber";
import {
  TopicBasis,
  type TopicConfirmation,
} from "../../process/fleet/index.ts";
import { waitFor } from "../../shared/index.ts";
import { buildEndpoint } from "./fake_endpoints.test.ts";
import {
  buildCall,
  type ForwardWorld,
  loadOthers,
  startCall,
  waitForEnd,
} from "./forward_world.test.ts";

/** State of one scenario. */
interface OldListWorld extends ForwardWorld {
  listReads: number;
  reachedMs: number;
}

const directTokens = 100;
const exportedTokens = 40_000;
const readMs = 80;

function markLeaving(world: OldListWorld, name: string): void {
  const value = buildEndpoint(name, { leaving: true });
  world.endpoints.apply({
    records: [{ key: name, value, offset: 10 }],
    next: 11,
    whole: false,
  });
}

/** A list that gets too old after `afterMs`, until it is read. */
function createOldList(
  world: OldListWorld,
  { afterMs = 0, read }: {
    readonly afterMs?: number;
    /** Reads the list; resolves to whether that succeeded. */
    readonly read: (maxWaitMs: number) => Promise<boolean>;
  },
): TopicConfirmation {
  const oldMs = performance.now() + afterMs;
  world.listReads = 0;
  let current = false;
  const isCurrent = (): boolean => current || performance.now() < oldMs;
  return {
    isCurrent,
    getAgeMs: () => isCurrent() ? 0 : Infinity,
    async confirm(maxWaitMs): Promise<TopicBasis> {
      world.listReads += 1;
      current = await read(maxWaitMs);
      return current ? TopicBasis.Refreshed : TopicBasis.Unconfirmed;
    },
  };
}

Given(
  /^the list of endpoints (?:is too old|gets too old after (\d+) ms), and shows after (\d+) ms that "(.+)" leaves$/,
  function (
    this: OldListWorld,
    afterMs: string | null,
    ms: string,
    name: string,
  ): void {
    this.listing = createOldList(this, {
      afterMs: Number(afterMs ?? 0),
      read: async () => {
        await waitFor(Number(ms));
        markLeaving(this, name);
        return true;
      },
    });
  },
);

Given(
  "the list of endpoints gets too old after {int} ms, and can be read in {int} ms",
  function (this: OldListWorld, afterMs: number, ms: number): void {
    this.listing = createOldList(this, {
      afterMs,
      read: () => waitFor(ms).then(() => true),
    });
  },
);

Given("the list of endpoints is too old and cannot be read", function (
  this: OldListWorld,
): void {
  this.listing = createOldList(this, {
    read: () => waitFor(readMs).then(() => false),
  });
});

Given(
  "the list of endpoints is too old, and its read takes all the time that it may",
  function (this: OldListWorld): void {
    this.listing = createOldList(this, {
      read: (maxWaitMs) => waitFor(maxWaitMs).then(() => false),
    });
  },
);

Given("the budget allows {int} repeats", function (
  this: OldListWorld,
  repeats: number,
): void {
  this.repeats = repeats;
});

Given("a connection to {string} takes {int} ms to be opened", function (
  this: OldListWorld,
  name: string,
  ms: number,
): void {
  this.fake.connectMs.set(name, ms);
});

function startWork(world: OldListWorld, promptTokens: number): void {
  const parts = [{ id: "own", tokens: promptTokens }];
  for (const { name } of world.endpoints.listAll()) {
    if (name.startsWith("d")) world.fake.scripts.set(name, ["events 1-3"]);
  }
  startCall(
    world,
    buildCall({ work: { model: "m", promptTokens, outputTokens: 10, parts } }),
  );
}

When("a call is forwarded that prefers {string}", async function (
  this: OldListWorld,
  name: string,
): Promise<void> {
  loadOthers(this, name);
  if (name.startsWith("e")) startCall(this, buildCall());
  else startWork(this, name.startsWith("p") ? exportedTokens : directTokens);
  await waitForEnd(this);
});

When("a stream is forwarded that is exported first", async function (
  this: OldListWorld,
): Promise<void> {
  startWork(this, exportedTokens);
  await waitForEnd(this);
});

When("a call is forwarded whose caller waits {int} ms", async function (
  this: OldListWorld,
  waitMs: number,
): Promise<void> {
  const startMs = performance.now();
  startCall(this, buildCall({ waitMs }));
  while (this.fake.sends.length === 0) await this.forwardClock?.tickAsync(10);
  this.reachedMs = performance.now() - startMs;
  await waitForEnd(this);
});

Then("no call has reached {string}", function (
  this: OldListWorld,
  name: string,
): void {
  const reached = this.fake.sends.map(({ endpoint }) => endpoint);
  assert.ok(!reached.includes(name), reached.join(", "));
});

Then("the budget still allows {int} repeats", function (
  this: OldListWorld,
  repeats: number,
): void {
  assert.equal(this.repeats, repeats);
});

Then("the list of endpoints was read {int} time", function (
  this: OldListWorld,
  times: number,
): void {
  assert.equal(this.listReads, times);
});

Then("{int} call was sent on the basis {string}", function (
  this: OldListWorld,
  count: number,
  basis: string,
): void {
  assert.deepEqual(
    this.bases,
    Array.from({ length: count }, () => basis),
  );
});

Then("the call has reached its endpoint after at most {int} ms", function (
  this: OldListWorld,
  mostMs: number,
): void {
  assert.ok(this.reachedMs <= mostMs, `${this.reachedMs} ms`);
});
