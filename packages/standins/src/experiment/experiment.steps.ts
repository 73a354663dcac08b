/** Steps of `experiment.feature`. */
import assert from "node:assert/strict";
import { After, Given, Then } from "@cucumber/cucumber";
import { EngineRole, Priority } from "@trefoildoor/core";
import { pauseClock, type PausedClock } from "@trefoildoor/testing";
import {
  createFakeEngine,
  type EngineJob,
  type FakeEngine,
} from "./bench/fake_engine.ts";
import type { RunFigures } from "./bench/figures.ts";
import { runBench } from "./bench/run.ts";
import type { ExperimentReport } from "./experiment.ts";
import { ownPolicy } from "./policies/index.ts";
import { renderMarkdown } from "./report/markdown.ts";
import { renderPlot } from "./report/plots.ts";
import { calderas, generateSteady } from "./scenarios.ts";

/** State of one scenario. */
interface ExperimentWorld {
  runs: readonly RunFigures[];
  engine: FakeEngine;
  clock?: PausedClock;
  matchSnapshot: (received: unknown) => void;
}

const seed = 3;
const factor = 0.5;

After(function (this: ExperimentWorld): void {
  this.clock?.uninstall();
});

Given(
  "the bench runs calderas' steady mix for one seed twice",
  { timeout: 60_000 },
  async function (this: ExperimentWorld): Promise<void> {
    const load = generateSteady(calderas, { seed, factor });
    const run = { shape: calderas, load, policy: ownPolicy, seed };
    this.runs = [await runBench(run), await runBench(run)];
  },
);

Then(
  "both bench runs have the same figures",
  function (this: ExperimentWorld): void {
    assert.deepEqual(this.runs[0], this.runs[1]);
  },
);

Then(
  "each offered request is completed, refused or failed",
  function (this: ExperimentWorld): void {
    for (const { offered, completed, refused, failed } of this.runs) {
      assert.ok(offered > 0);
      assert.equal(completed + refused + failed, offered);
    }
  },
);

Given(
  "a fake engine that was told to change its role",
  function (this: ExperimentWorld): void {
    this.clock = pauseClock();
    this.engine = createFakeEngine({
      name: "engine-0",
      failureDomain: "santiago-a",
      role: EngineRole.Mixed,
      figures: calderas.figures,
      onReport: () => undefined,
    });
    this.engine.setRole(EngineRole.Prefill);
  },
);

Then(
  "it takes no job until the change is over and then only jobs of its role",
  function (this: ExperimentWorld): void {
    assert.equal(this.engine.start(buildJob(true)), false);
    this.clock?.tick(calderas.figures.changeMs);
    assert.equal(this.engine.start(buildJob(false)), false);
    assert.equal(this.engine.start(buildJob(true)), true);
    this.engine.stop();
  },
);

function buildJob(prefillOnly: boolean): EngineJob {
  return {
    promptTokens: 100,
    outputTokens: 10,
    prefixes: [],
    priority: Priority.Normal,
    prefillOnly,
    imported: false,
    onToken: () => undefined,
    onEnd: () => undefined,
  };
}

Then(
  "a small report renders as Markdown and its plot as SVG",
  async function (this: ExperimentWorld): Promise<void> {
    const plot = {
      name: "goodput",
      title: "Goodput",
      specification: {
        data: { values: [{ x: 1, y: 2 }, { x: 2, y: 3 }] },
        mark: "line",
        encoding: {
          x: { field: "x", type: "quantitative" },
          y: { field: "y", type: "quantitative" },
        },
      },
    };
    const report: ExperimentReport = {
      title: "small",
      notes: ["One note."],
      tables: [{ title: "Rows", columns: ["a", "b"], rows: [["1", "2"]] }],
      plots: [plot],
      data: [],
    };
    this.matchSnapshot(renderMarkdown(report, ["goodput.svg"]));
    assert.match(await renderPlot(plot), /^<svg .*<\/svg>$/s);
  },
);
