/** Steps of `refusals.feature`. */
import { strict as assert } from "node:assert";
import { Given, Then, When } from "@cucumber/cucumber";
import { waitFor } from "../../shared/index.ts";
import {
  Effect,
  Outcome,
  RemoteError,
  RemoteFailure,
} from "../../types/index.ts";
import {
  buildCall,
  type ForwardWorld,
  startCall,
} from "./forward_world.test.ts";

const stepMs = 10;
/** Tokens of a prompt that no other call has. */
const ownTokens = 100;

Given(
  "{string} has {int} prompt tokens ahead with the part {string} of {int}",
  function (
    this: ForwardWorld,
    name: string,
    ahead: number,
    id: string,
    tokens: number,
  ): void {
    const parts = [{ id, tokens }];
    this.tracker.openCall(name, { tokens: ahead, parts, late: false });
  },
);

Given(
  "all slots of {string} are taken",
  function (this: ForwardWorld, name: string): void {
    const { slots = 0 } = this.endpoints.listAll()
      .find((each) => each.name === name) ?? {};
    for (let each = 0; each < slots; each++) this.tracker.openCall(name);
  },
);

Given(
  "{string} turns out to be down after {int} ms",
  function (this: ForwardWorld, name: string, ms: number): void {
    const { send } = this.fake.sender;
    Object.assign(this.fake.sender, {
      send: async (...given: Parameters<typeof send>) => {
        if (given[1].endpoint.name !== name) return await send(...given);
        await waitFor(ms);
        throw new RemoteError("nothing listens", {
          failure: RemoteFailure.Unreachable,
          effect: Effect.None,
        });
      },
    });
  },
);

When(
  /^a (?:call|stream of (\d+) prompt tokens with the part "(.+)") comes(?: whose caller waits (\d+) ms)?$/,
  function (
    this: ForwardWorld,
    tokens: string | null,
    id: string | null,
    waitMs: string | null,
  ): void {
    const promptTokens = Number(tokens);
    const shared = promptTokens - ownTokens;
    startCall(
      this,
      buildCall({
        ...(waitMs && { waitMs: Number(waitMs) }),
        ...(id && {
          work: {
            model: "model",
            promptTokens,
            outputTokens: 1,
            parts: [
              { id, tokens: shared },
              { id: "own", tokens: ownTokens },
            ],
          },
        }),
      }),
    );
  },
);

Then(
  "the call is refused within {int} ms",
  async function (this: ForwardWorld, ms: number): Promise<void> {
    for (let pastMs = 0; pastMs < ms && !this.end; pastMs += stepMs) {
      await this.forwardClock?.tickAsync(stepMs);
    }
    assert.equal(this.end?.outcome, Outcome.NotRun);
    assert.equal(this.caller.status, 503);
  },
);
