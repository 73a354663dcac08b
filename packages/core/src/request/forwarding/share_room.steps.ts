/** Steps of `share_room.feature`. */
import { strict as assert } from "node:assert";
import { Given, Then, When } from "@cucumber/cucumber";
import type { FairShares } from "../../process/shares/index.ts";
import { type ForwardCall, RefusalReason } from "../../types/index.ts";
import { KeyVerdict } from "../workspaces/index.ts";
import {
  buildCall,
  type ForwardWorld,
  startCall,
  waitForEnd,
} from "./forward_world.test.ts";
import { refuseBeyondShare } from "./share_room.ts";
import type { ForwardEnd } from "./types.ts";

/** State of one scenario. */
interface ShareWorld extends ForwardWorld {
  recorded: string[];
  shares: FairShares;
  refusal: ForwardEnd | undefined;
}

const retryAfterMs = 1_300;
const work = { model: "model", promptTokens: 9, outputTokens: 1, parts: [] };

function prepareShares(world: ShareWorld, refuses: boolean): void {
  world.recorded = [];
  world.shares = {
    admit: (call) => {
      world.recorded.push(`admit ${call.work}`);
      return refuses ? retryAfterMs : undefined;
    },
    recordOffered: (call) => void world.recorded.push(`count ${call.work}`),
    recordRefused: (call) => void world.recorded.push(`full ${call.work}`),
    collectReports: () => undefined,
    applyReports: () => undefined,
  };
}

Given(
  "calls need a key, and shares {word} those of {string}",
  function (this: ShareWorld, verdict: string, name: string): void {
    prepareShares(this, verdict === "refuse");
    this.otherParts = {
      shares: this.shares,
      keys: {
        judge: ({ key }) => ({
          verdict: KeyVerdict.Granted,
          workspace: key === name ? { name, keys: [name] } : undefined,
        }),
        findRefusal: () => undefined,
      },
    };
  },
);

Given("shares that refuse all calls", function (this: ShareWorld): void {
  prepareShares(this, true);
});

When(
  "a call of {string} is forwarded that has {word} events",
  async function (
    this: ShareWorld,
    key: string,
    events: string,
  ): Promise<void> {
    const isStream = this.version.findRoute("host", "/path/x")?.kind ===
      "stream";
    const change: Partial<ForwardCall> = {
      key,
      ...(events === "some" && { resumeAfter: "3" }),
      ...(isStream && { work }),
    };
    startCall(this, buildCall(change));
    await waitForEnd(this);
  },
);

Then(
  "shares have recorded {string}",
  function (this: ShareWorld, recorded: string): void {
    assert.equal(this.recorded.join(", "), recorded);
    const isRefused = this.end?.reason === RefusalReason.ShareUsed;
    assert.equal(this.end?.retryAfterMs === retryAfterMs, isRefused);
  },
);

When(
  "a stream of {string} with {int} prompt tokens is taken up",
  function (this: ShareWorld, workspace: string, promptTokens: number): void {
    this.refusal = refuseBeyondShare(this, {
      call: buildCall({ work: { ...work, promptTokens } }),
      service: "service",
      workspace,
      takesUp: true,
    });
  },
);

Then(
  "it may run, and shares have recorded {string}",
  function (this: ShareWorld, recorded: string): void {
    assert.equal(this.refusal, undefined);
    assert.equal(this.recorded.join(", "), recorded);
  },
);
