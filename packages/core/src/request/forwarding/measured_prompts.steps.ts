/** Steps on the speed that exports show. */
import { strict as assert } from "node:assert";
import { Then, When } from "@cucumber/cucumber";
import { createCapacities } from "../../process/capacities/index.ts";
import { startRunningClock } from "../../shared/index.ts";
import {
  buildCall,
  type ForwardWorld,
  startCall,
  waitForEnd,
} from "./forward_world.test.ts";

const sendMs = 10;

When(
  /^a stream with (\d+) prompt tokens is forwarded, and the process (gets on|does not get on) for (\d+) ms$/,
  async function (
    this: ForwardWorld,
    tokens: string,
    runs: string,
    ms: string,
  ): Promise<void> {
    const promptTokens = Number(tokens);
    this.fake.scripts.set("d1", ["events 1-3"]);
    this.otherParts = {
      capacities: createCapacities({ logEvent: () => undefined }),
      clock: startRunningClock(),
    };
    const parts = [{ id: "own", tokens: promptTokens }];
    startCall(
      this,
      buildCall({
        work: { model: "m", promptTokens, outputTokens: 10, parts },
      }),
    );
    await this.forwardClock?.tickAsync(sendMs);
    if (runs === "gets on") await this.forwardClock?.tickAsync(Number(ms));
    else this.forwardClock?.jump(Number(ms));
    await waitForEnd(this);
  },
);

Then(
  "the caller's stream is whole, and {string} is taken to compute {int} tokens per ms",
  function (this: ForwardWorld, engine: string, tokensPerMs: number): void {
    assert.equal(this.end?.status, 200);
    const service = this.endpoints.listAll()
      .find(({ name }) => name === engine)?.service;
    assert.ok(service !== undefined);
    const prompts = this.otherParts?.capacities?.prompts;
    assert.equal(
      Math.round(prompts?.getTokensPerMs(service, engine) ?? 0),
      tokensPerMs,
    );
  },
);
