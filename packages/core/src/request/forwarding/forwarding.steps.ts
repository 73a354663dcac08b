/** Steps of `forwarding.feature`. */
import { strict as assert } from "node:assert";
import { After, Given, Then, When } from "@cucumber/cucumber";
import { pauseClock } from "@trefoildoor/testing";
import fc from "fast-check";
import { Outcome } from "../../types/index.ts";
import {
  type Behaviour,
  buildEndpoint,
  mayHaveRun,
} from "./fake_endpoints.test.ts";
import {
  buildCall,
  type ForwardWorld,
  listReachedEndpoints,
  loadOthers,
  prepareWorld,
  splitNames,
  startCall,
  waitForEnd,
} from "./forward_world.test.ts";

const propertyRun = { seed: 1_207, numRuns: 300 };

After(function (this: ForwardWorld): void {
  this.forwardClock?.uninstall();
});

Given(
  "a {string} route over {string} with {int} endpoints for a call",
  function (
    this: ForwardWorld,
    kind: string,
    names: string,
    most: number,
  ): void {
    this.forwardClock = pauseClock();
    prepareWorld(this, kind, { names: splitNames(names), most });
  },
);

Given(
  "{string} answers {string}",
  function (this: ForwardWorld, name: string, behaviour: Behaviour): void {
    this.fake.scripts.set(name, [behaviour]);
  },
);

Given(
  "a connection to {string} is at hand",
  function (this: ForwardWorld, name: string): void {
    this.fake.connected.add(name);
  },
);

Given(
  "{string} exports after {int} ms",
  function (this: ForwardWorld, name: string, ms: number): void {
    const { sender } = this.fake;
    const send = sender.send;
    Object.assign(sender, {
      send: async (
        ...given: Parameters<typeof send>
      ): ReturnType<typeof send> => {
        const answer = await send(...given);
        if (given[1].endpoint.name === name) {
          await new Promise((resolve) => setTimeout(resolve, ms));
        }
        return answer;
      },
    });
  },
);

Given(
  "{string} leaves after {int} ms",
  function (this: ForwardWorld, name: string, ms: number): void {
    const value = buildEndpoint(name, { leaving: true });
    setTimeout(() => {
      this.endpoints.apply({
        records: [{ key: name, value, offset: 10 }],
        next: 11,
        whole: false,
      });
    }, ms);
  },
);

Given(
  "{string} has {int} prompt tokens ahead",
  function (this: ForwardWorld, name: string, tokens: number): void {
    this.tracker.openCall(name, { tokens, parts: [], late: false });
  },
);

Given(
  "{string} has {int} late prompt tokens ahead",
  function (this: ForwardWorld, name: string, tokens: number): void {
    this.tracker.openCall(name, { tokens, parts: [], late: true });
  },
);

When("a call is forwarded", async function (this: ForwardWorld): Promise<void> {
  startCall(this, buildCall());
  await waitForEnd(this);
});

When(
  "a call is forwarded that reaches {string} first",
  async function (this: ForwardWorld, name: string): Promise<void> {
    loadOthers(this, name);
    startCall(this, buildCall());
    if (this.fake.scripts.get(name)?.[0] === "silent") {
      await this.forwardClock?.tickAsync(0);
    }
    if (!this.version.findRoute("host", "/path/")) return;
    await this.forwardClock?.tickAsync(0);
  },
);

When("a call to another path is forwarded", async function (
  this: ForwardWorld,
): Promise<void> {
  startCall(this, buildCall({ target: "/other/" }));
  await waitForEnd(this);
});

When("its caller leaves", async function (this: ForwardWorld): Promise<void> {
  this.caller.leave();
  await waitForEnd(this);
});

function startStream(
  world: ForwardWorld,
  promptTokens: number,
  { shared = [] }: { readonly shared?: readonly string[] } = {},
): void {
  const ids = shared.length > 0 ? [...shared, "own"] : [];
  const tokens = promptTokens / ids.length;
  const parts = ids.map((id) => ({ id, tokens }));
  startCall(
    world,
    buildCall({ work: { model: "m", promptTokens, outputTokens: 10, parts } }),
  );
}

When(
  "a stream with {int} prompt tokens is forwarded",
  async function (this: ForwardWorld, tokens: number): Promise<void> {
    startStream(this, tokens);
    await waitForEnd(this);
  },
);

When(
  "a stream with {int} prompt tokens is forwarded that reaches {string} first",
  async function (
    this: ForwardWorld,
    tokens: number,
    name: string,
  ): Promise<void> {
    loadOthers(this, name);
    startStream(this, tokens);
    await waitForEnd(this);
  },
);

function crashUnderPart(world: ForwardWorld, part: string): void {
  const crashes = [1, 2, 3].map((startedAtMs) => ({
    endpoint: "former",
    startedAtMs,
    ageMs: 1,
    traits: [`part:${part}`],
  }));
  world.crashes.applyReports({ crashes, successes: [] }, 0);
}

Given("endpoints have crashed under the part {string}", function (
  this: ForwardWorld,
  part: string,
): void {
  crashUnderPart(this, part);
});

Given("endpoints crash under the part {string} after {int} ms", function (
  this: ForwardWorld,
  part: string,
  ms: number,
): void {
  setTimeout(() => crashUnderPart(this, part), ms);
});

When(
  /^a call with the part "(.+)" and (\d+) prompt tokens is forwarded(?: that reaches "(.+)" first)?$/,
  async function (
    this: ForwardWorld,
    part: string,
    tokens: string,
    first: string | null,
  ): Promise<void> {
    if (first) loadOthers(this, first);
    startStream(this, Number(tokens), { shared: [part] });
    await waitForEnd(this);
  },
);

Then("the caller gets status {int}", async function (
  this: ForwardWorld,
  status: number,
): Promise<void> {
  await waitForEnd(this);
  assert.equal(this.caller.status, status);
  assert.ok(this.caller.ended);
});

Then("the call has reached {string}", async function (
  this: ForwardWorld,
  names: string,
): Promise<void> {
  await waitForEnd(this);
  assert.equal(listReachedEndpoints(this), names);
});

Then(
  "the caller is told when to come back",
  function (this: ForwardWorld): void {
    assert.ok(Number(this.caller.retryAfter) > 0);
  },
);

Then(
  "the caller is told to come back in {int} ms",
  function (this: ForwardWorld, ms: number): void {
    assert.equal(Number(this.caller.retryAfter), ms / 1_000);
  },
);

Then("the caller's answer ends with its connection", function (
  this: ForwardWorld,
): void {
  assert.deepEqual(this.caller.framing, { untilClose: true });
});

Then("the caller's answer is in chunks", function (this: ForwardWorld): void {
  assert.ok(this.caller.status !== undefined);
  assert.equal(this.caller.framing, undefined);
});

Given("the process of {string} has ended", function (
  this: ForwardWorld,
  name: string,
): void {
  this.fake.ended.add(name);
});

Then("the call at {string} is taken back", function (
  this: ForwardWorld,
  name: string,
): void {
  const send = this.fake.sends.find(({ endpoint }) => endpoint === name);
  assert.ok(send?.aborted);
});

Then(
  "the caller gets events {int} to {int} and the end",
  function (this: ForwardWorld, first: number, last: number): void {
    const ids = [...this.caller.text.matchAll(/^id: (\d+)$/gm)]
      .map(([, id]) => Number(id));
    const expected = Array.from(
      { length: last - first + 1 },
      (_, index) => first + index,
    );
    assert.deepEqual(ids, expected);
    assert.ok(this.caller.ended && !this.caller.cut);
  },
);

Then(
  "the caller has events {int} to {int} and no other bytes",
  function (this: ForwardWorld, first: number, last: number): void {
    const events = Array.from(
      { length: last - first + 1 },
      (_, index) => `id: ${first + index}\ndata: x\n\n`,
    );
    assert.equal(this.caller.text, events.join(""));
    assert.equal(this.caller.status, 200);
  },
);

Then("the generation took the prompt of {string}", function (
  this: ForwardWorld,
  name: string,
): void {
  assert.equal(this.fake.sends.at(-1)?.facts.exported?.address, name);
});

Then("the caller's answer is cut", function (this: ForwardWorld): void {
  assert.ok(this.caller.cut && !this.caller.ended);
});

Then("the second run began after event {int}", function (
  this: ForwardWorld,
  id: number,
): void {
  assert.equal(this.fake.sends.at(-1)?.facts.resumeAfter, String(id));
});

Then("no exported prompt is left", function (this: ForwardWorld): void {
  assert.deepEqual(this.fake.released, []);
  assert.ok(this.fake.sends.at(-1)?.facts.exported);
});

Then("the exported prompt of {string} was freed", function (
  this: ForwardWorld,
  name: string,
): void {
  assert.deepEqual(this.fake.released, [`of ${name}`]);
});

Then("the call was sent with rank {int}", function (
  this: ForwardWorld,
  rank: number,
): void {
  assert.equal(this.fake.sends.at(-1)?.facts.rank, rank);
});

Then(
  "any behaviours of three endpoints keep the promises of calls that run at most once",
  async function (this: ForwardWorld): Promise<void> {
    const behaviour = fc.constantFrom<Behaviour[]>(
      "ok",
      "500",
      "full",
      "misdirected",
      "unreachable",
      "lost",
      "torn",
      "foreign",
      "unmarked",
      "encoded",
      "silent",
      "unnamed full",
      "unasked",
      "copied",
      "unstated 408",
      "unstated 429",
      "unstated 503",
    );
    await fc.assert(
      fc.asyncProperty(
        fc.tuple(behaviour, behaviour, behaviour),
        (behaviours) => checkPromises(this, behaviours),
      ),
      propertyRun,
    );
  },
);

/** Checks that at most one endpoint runs the call, and that the outcome "not run" and status 503 occur only if none did. */
async function checkPromises(
  world: ForwardWorld,
  behaviours: readonly Behaviour[],
): Promise<void> {
  world.forwardClock = pauseClock();
  try {
    prepareWorld(world, "at_most_once", { names: ["e1", "e2", "e3"], most: 1 });
    behaviours.forEach((behaviour, index) =>
      world.fake.scripts.set(`e${index + 1}`, [behaviour])
    );
    startCall(world, buildCall());
    await waitForEnd(world);
    const runs = world.fake.sends.filter(mayHaveRun).length;
    assert.ok(runs <= 1);
    if (world.end?.outcome === Outcome.NotRun) assert.equal(runs, 0);
    if ([408, 421, 429, 503].includes(world.caller.status ?? 0)) {
      assert.equal(runs, 0);
    }
    if (world.caller.status === 200) assert.equal(world.caller.text, "body");
  } finally {
    world.forwardClock.uninstall();
  }
}
