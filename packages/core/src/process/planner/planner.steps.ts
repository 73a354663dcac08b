/** Steps of `planner.feature`. */
import assert from "node:assert/strict";
import { Given, Then, When } from "@cucumber/cucumber";
import fc from "fast-check";
import {
  type BundlePool,
  type DemandSample,
  EngineRole,
  FenceCheck,
  type PlannerEngine,
  type PlannerInput,
} from "../../types/index.ts";
import { createPlanner } from "./index.ts";

/** State of one scenario. */
interface PlannerWorld {
  input: PlannerInput;
}

const propertyRun = { seed: 5_024, numRuns: 200 };
const stepMs = 1_000;
const longRunMs = 600_000;
const lowWeight = 5;
const maxChanges = 8;

function buildPool(weight: number): BundlePool {
  return {
    name: "drafts",
    "fence_check": FenceCheck.Checked,
    engines: [],
    models: [],
    "prefill_floor": 1,
    "decode_floor": 1,
    "role_change_weight": weight,
  };
}

function buildEngines(): readonly PlannerEngine[] {
  return Array.from({ length: 6 }, (_, index) => ({
    name: `engine-${index}`,
    failureDomain: `domain-${index % 3}`,
    role: EngineRole.Mixed,
    ready: true,
    reportAgeMs: 0,
  }));
}

/** Demand of the last half minute, per second. */
function buildDemand(
  mix: Pick<DemandSample, "requests" | "promptTokens" | "outputTokens">,
  nowMs: number,
): readonly DemandSample[] {
  return Array.from({ length: 30 }, (_, index) => ({
    fromMs: nowMs - (30 - index) * stepMs,
    toMs: nowMs - (29 - index) * stepMs,
    refused: 0,
    ...mix,
  }));
}

Then(
  "under any steady demand the planner stops after at most 8 changes and keeps the floors",
  function (): void {
    const mix = fc.record({
      requests: fc.integer({ min: 1, max: 200 }),
      promptTokens: fc.integer({ min: 0, max: 200_000 }),
      outputTokens: fc.integer({ min: 0, max: 40_000 }),
    });
    fc.assert(fc.property(mix, checkConvergence), propertyRun);
  },
);

function checkConvergence(
  mix: Pick<DemandSample, "requests" | "promptTokens" | "outputTokens">,
): void {
  const plan = createPlanner();
  let engines = buildEngines();
  let lastChangeMs: number | undefined;
  let changes = 0;
  for (let nowMs = 0; nowMs < longRunMs; nowMs += stepMs) {
    const demand = buildDemand(mix, nowMs);
    const input = {
      pool: buildPool(lowWeight),
      engines,
      demand,
      nowMs,
      lastChangeMs,
    };
    const change = plan(input);
    if (!change) continue;
    changes += 1;
    lastChangeMs = nowMs;
    engines = engines.map((engine) =>
      engine.name === change.engine ? { ...engine, role: change.role } : engine
    );
    assert.ok(engines.some((engine) => engine.role !== EngineRole.Prefill));
    assert.ok(engines.some((engine) => engine.role !== EngineRole.Decode));
  }
  assert.ok(changes <= maxChanges, `${changes} changes`);
}

Given(
  "a pool of 6 engines under long prompts",
  function (this: PlannerWorld): void {
    const mix = { requests: 8, promptTokens: 48_000, outputTokens: 1_600 };
    this.input = {
      pool: buildPool(lowWeight),
      engines: buildEngines(),
      demand: buildDemand(mix, 60_000),
      nowMs: 60_000,
    };
  },
);

When(
  "one engine of the pool is not ready",
  function (this: PlannerWorld): void {
    const engines = this.input.engines.map((engine, index) =>
      index === 3 ? { ...engine, ready: false } : engine
    );
    this.input = { ...this.input, engines };
  },
);

When(
  "a role change is worth {int} useful answers",
  function (this: PlannerWorld, weight: number): void {
    this.input = { ...this.input, pool: buildPool(weight) };
  },
);

Then("the planner changes nothing", function (this: PlannerWorld): void {
  assert.equal(createPlanner()(this.input), undefined);
});

Then(
  "the planner makes a mixed engine compute prompts only",
  function (this: PlannerWorld): void {
    const change = createPlanner()(this.input);
    assert.equal(change?.role, EngineRole.Prefill);
    assert.ok((change?.gain ?? 0) > this.input.pool.role_change_weight);
  },
);
