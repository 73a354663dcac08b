/** Steps of `forwarding.feature` on the limits of endpoints. */
import { strict as assert } from "node:assert";
import { Given, Then, When } from "@cucumber/cucumber";
import { CallEnd } from "../../process/fleet/index.ts";
import { LimitStep } from "../../process/limits/index.ts";
import { buildEndpoint } from "./fake_endpoints.test.ts";
import {
  buildCall,
  type ForwardWorld,
  splitNames,
  startCall,
} from "./forward_world.test.ts";

/** Longer than any export of these scenarios. */
const exportMs = 3_000;

Given(
  "the limits of {string} are used up",
  function (this: ForwardWorld, names: string): void {
    for (const name of splitNames(names)) {
      const endpoint = buildEndpoint(name);
      this.limits.recordAnswer(endpoint, {
        perSecond: 0.2,
        step: LimitStep.Call,
        succeeded: true,
      });
      this.limits.recordSend(endpoint);
    }
  },
);

Given(
  /^"(.+)" names a limit of ([\d.]+) a second$/,
  function (this: ForwardWorld, name: string, perSecond: string): void {
    this.limits.recordAnswer(buildEndpoint(name), {
      perSecond: Number(perSecond),
      step: LimitStep.Generate,
      succeeded: true,
    });
  },
);

Given(
  "{string} is suspended",
  function (this: ForwardWorld, name: string): void {
    this.tracker.openCall(name).close(CallEnd.Down);
  },
);

When(
  "streams with {int} prompt tokens are forwarded at once",
  async function (this: ForwardWorld, promptTokens: number): Promise<void> {
    const work = { model: "m", promptTokens, outputTokens: 9, parts: [] };
    const ended = ["first", "second"].map((id) => {
      startCall(this, buildCall({ id, work }));
      return this.whenEnded;
    });
    await this.forwardClock?.tickAsync(exportMs);
    await Promise.all(ended);
  },
);

Then(
  "{string} and {string} got one request each",
  function (this: ForwardWorld, first: string, second: string): void {
    const names = this.fake.sends.map(({ endpoint }) => endpoint);
    assert.deepEqual(names.toSorted(), [first, second].toSorted());
  },
);
