/** Steps of `placement_costs.feature`. */
import { strict as assert } from "node:assert";
import { Given, Then, When } from "@cucumber/cucumber";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { createPromptSpeeds } from "../../process/capacities/index.ts";
import {
  createEndpointTracker,
  type EndpointTracker,
} from "../../process/fleet/index.ts";
import { EngineRole, type ListedEndpoint } from "../../types/index.ts";
import {
  placeGeneration,
  type Placement,
  type PlacementOptions,
} from "./place_generation.ts";

/** State of one scenario. */
interface PlacementWorld {
  placementEngines: readonly ListedEndpoint[];
  tracker: EndpointTracker;
  loadReads: number;
  placement?: Placement;
}

const seed = 17;
const generatingEvery = 4;
const versions = ["v1", "v2"];
const maxCalls = 6;
const maxTokens = 20_000;
const goalLeftMs = 100_000;
const work = {
  model: "m",
  promptTokens: 12_000,
  outputTokens: 10,
  parts: [{ id: "own", tokens: 12_000 }],
};

Given(
  "{int} engines in {int} failure domains, a quarter of which generate",
  function (this: PlacementWorld, count: number, domains: number): void {
    const generator = xoroshiro128plus(seed);
    const tracker = createEndpointTracker({ logEvent: () => undefined });
    this.placementEngines = Array.from({ length: count }, (_, index) => ({
      name: `engine-${index}`,
      service: "models",
      address: `10.0.0.1:${index}`,
      failureDomain: `domain-${index % domains}`,
      slots: 64,
      leaving: false,
      role: index % generatingEvery === 0
        ? EngineRole.Decode
        : EngineRole.Prefill,
      softwareVersion: versions[Math.floor(index / 2) % versions.length],
    }));
    for (const { name } of this.placementEngines) {
      const calls = Math.floor(uniformFloat64(generator) * maxCalls);
      for (let each = 0; each < calls; each++) {
        tracker.openCall(name, {
          tokens: Math.floor(uniformFloat64(generator) * maxTokens),
          parts: [],
          late: false,
        });
      }
    }
    this.loadReads = 0;
    this.tracker = {
      ...tracker,
      getLoad: (endpoint) => {
        this.loadReads += 1;
        return tracker.getLoad(endpoint);
      },
    };
  },
);

When("a prompt is placed", function (this: PlacementWorld): void {
  this.placement = placeGeneration(work, {
    ...buildOptions(this),
    goalLeftMs,
  });
});

Then(
  "the load of an engine was read at most {int} times on average",
  function (this: PlacementWorld, most: number): void {
    const mean = this.loadReads / this.placementEngines.length;
    assert.ok(mean <= most, String(mean));
  },
);

Then(
  "the prompt is placed as by comparing all pairs of engines",
  function (this: PlacementWorld): void {
    const { placement } = this;
    assert.ok(placement?.exports);
    const options = buildOptions(this);
    const alone = this.placementEngines
      .filter(({ role }) => role === EngineRole.Prefill)
      .flatMap((exporter) => {
        const engines = this.placementEngines.filter((engine) =>
          engine === exporter || engine.role === EngineRole.Decode
        );
        const placed = placeGeneration(work, {
          ...options,
          engines,
          goalLeftMs,
        });
        return placed?.exports ? [placed.readMs] : [];
      });
    assert.equal(placement.readMs, Math.min(...alone));
  },
);

function buildOptions(world: PlacementWorld): PlacementOptions {
  return {
    service: "models",
    engines: world.placementEngines,
    exclude: new Set(),
    endpointTracker: world.tracker,
    prompts: createPromptSpeeds(),
    ownDomain: "domain-0",
    isConnected: (engine) => engine.name.endsWith("4"),
  };
}
