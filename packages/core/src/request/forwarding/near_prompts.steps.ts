/** Steps of `near_prompts.feature`. */
import { strict as assert } from "node:assert";
import { After, Given, Then, When } from "@cucumber/cucumber";
import { pauseClock, type PausedClock } from "@trefoildoor/testing";
import { createPromptSpeeds } from "../../process/capacities/index.ts";
import {
  type Backlogs,
  createBacklogs,
  createEndpointTracker,
  type EndpointTracker,
} from "../../process/fleet/index.ts";
import { EngineRole, type ListedEndpoint } from "../../types/index.ts";
import { placeGeneration, type Placement } from "./place_generation.ts";

/** State of one scenario. */
interface NearWorld {
  nearClock?: PausedClock;
  nearEngines: ListedEndpoint[];
  backlogs: Backlogs;
  nearTracker: EndpointTracker;
  nearPlacement: Placement | undefined;
}

const ownDomain = "here";
const service = "models";
const prompts = createPromptSpeeds();

After(function (this: NearWorld): void {
  this.nearClock?.uninstall();
});

function buildEngine(
  name: string,
  { failureDomain, role }: Pick<ListedEndpoint, "failureDomain" | "role">,
): ListedEndpoint {
  return {
    name,
    service,
    address: "10.0.0.1:1",
    failureDomain,
    slots: 48,
    leaving: false,
    role,
  };
}

Given(
  "{int} engines in the own failure domain and {int} elsewhere that compute prompts",
  function (this: NearWorld, own: number, far: number): void {
    this.nearClock = pauseClock();
    this.nearTracker = createEndpointTracker({ logEvent: () => undefined });
    this.backlogs = createBacklogs();
    const build = (count: number, domain: string): readonly ListedEndpoint[] =>
      Array.from(
        { length: count },
        (_each, index) =>
          buildEngine(`${domain}-p${index}`, {
            failureDomain: domain,
            role: EngineRole.Prefill,
          }),
      );
    this.nearEngines = [
      ...build(own, ownDomain),
      ...build(far, "there"),
      buildEngine("d0", {
        failureDomain: "elsewhere",
        role: EngineRole.Decode,
      }),
    ];
  },
);

Given(
  "the own ones are busy for {int} ms and those elsewhere for {int} ms by digests",
  function (this: NearWorld, ownMs: number, farMs: number): void {
    const loads: Record<string, {
      calls: number;
      readTokens: number;
      lateTokens: number;
    }> = {};
    for (const { name, failureDomain } of this.nearEngines) {
      if (failureDomain === ownDomain) {
        this.backlogs.applyPlacements({ [name]: ownMs });
      } else {
        const readTokens = farMs * prompts.getTokensPerMs(service);
        loads[name] = { calls: 1, readTokens, lateTokens: 0 };
      }
    }
    const reads = { sent: {}, computed: {} };
    this.nearTracker.applyReports("peer", { loads, reads, down: {} });
  },
);

When(
  "a prompt of {int} tokens with a goal of {int} ms is placed",
  function (this: NearWorld, promptTokens: number, goalLeftMs: number): void {
    this.nearPlacement = placeGeneration(
      { model: "m", promptTokens, outputTokens: 9, parts: [] },
      {
        service,
        engines: this.nearEngines,
        exclude: new Set(),
        endpointTracker: this.nearTracker,
        prompts,
        backlogs: this.backlogs,
        ownDomain,
        isConnected: () => true,
        goalLeftMs,
      },
    );
  },
);

Then(
  /^its engine is in (the own|another) failure domain$/,
  function (this: NearWorld, domain: string): void {
    assert.ok(this.nearPlacement);
    const isOwn = this.nearPlacement.engine.failureDomain === ownDomain;
    assert.equal(isOwn, domain === "the own");
  },
);
