/** Steps of `stream_versions.feature`. */
import { strict as assert } from "node:assert";
import { Given, Then, When } from "@cucumber/cucumber";
import { buildEndpoint, mayHaveRun } from "./fake_endpoints.test.ts";
import {
  buildCall,
  type ForwardWorld,
  startCall,
  waitForEnd,
} from "./forward_world.test.ts";

const sharedPart = { id: "shared", tokens: 9_000 };
const work = {
  model: "m",
  promptTokens: 9_050,
  outputTokens: 9,
  parts: [sharedPart, { id: "own", tokens: 50 }],
};
/** Prompt tokens ahead at a busy engine. */
const aheadTokens = 100_000;

Given(
  "the software versions are {string}",
  function (this: ForwardWorld, versions: string): void {
    const records = versions.split(", ").map((text, offset) => {
      const [name = "", softwareVersion] = text.split(" ");
      const value = buildEndpoint(name, { softwareVersion });
      return { key: name, value, offset };
    });
    this.endpoints.apply({ records, next: records.length, whole: true });
  },
);

Given(
  "the weights are {string}",
  function (this: ForwardWorld, versions: string): void {
    for (const text of versions.split(", ")) {
      const [, name = "", version] = /^(.+) (\d+)$/.exec(text) ?? [];
      this.fake.weights.set(name, Number(version));
    }
  },
);

Given(
  "{string} has computed the shared part and has many prompts ahead",
  function (this: ForwardWorld, name: string): void {
    const done = this.tracker.openCall(name, {
      tokens: sharedPart.tokens,
      parts: work.parts,
      late: false,
    });
    done.markPromptComputed();
    this.tracker.openCall(name, {
      tokens: aheadTokens,
      parts: [],
      late: false,
    });
  },
);

Given(
  "the stream {string} has begun at {string}",
  function (this: ForwardWorld, call: string, name: string): void {
    const endpoint = this.endpoints.get(name);
    assert.ok(endpoint);
    this.origins.recordBegun(call, endpoint);
  },
);

When(
  "a stream with the shared part is forwarded",
  async function (this: ForwardWorld): Promise<void> {
    startCall(this, buildCall({ work }));
    await waitForEnd(this);
  },
);

When(
  "a call takes up a stream that no instance knows",
  async function (this: ForwardWorld): Promise<void> {
    startCall(this, buildCall({ work, resumeAfter: "3", resumes: "nobody" }));
    await waitForEnd(this);
  },
);

When(
  "a call takes up the stream {string}",
  async function (this: ForwardWorld, resumes: string): Promise<void> {
    await this.forwardClock?.tickAsync(1);
    startCall(this, buildCall({ work, resumeAfter: "3", resumes }));
    await waitForEnd(this);
  },
);

Given("{string} is listed with the weights {int}", function (
  this: ForwardWorld,
  name: string,
  version: number,
): void {
  const weightsVersions = { m: version };
  const value = buildEndpoint(name, { weightsVersions });
  const next = this.endpoints.getOffsets().next + 1;
  const records = [{ key: name, value, offset: next }];
  this.endpoints.apply({ records, next, whole: false });
});

Then("{string} was the last engine that ran it", function (
  this: ForwardWorld,
  name: string,
): void {
  const runs = this.fake.sends.filter(mayHaveRun);
  assert.equal(runs.at(-1)?.endpoint, name);
});

Then("no engine is suspended but {string}", function (
  this: ForwardWorld,
  broken: string,
): void {
  const suspended = this.endpoints.listAll().filter(({ name }) =>
    name !== broken && this.tracker.isSuspended(name)
  );
  assert.deepEqual(suspended, []);
});

Then(
  /^the engine copies (?:from (.+)|nothing)$/,
  function (this: ForwardWorld, source: string | null): void {
    const [send] = this.fake.sends;
    assert.ok(send, "nothing was sent");
    assert.equal(send.facts.copyFrom?.name, source ?? undefined);
  },
);
