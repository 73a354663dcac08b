/** Steps of `refusal_counts.feature`. */
import { strict as assert } from "node:assert";
import { Given, Then } from "@cucumber/cucumber";
import { buildNotRun, RefusalReason } from "@trefoildoor/core";
import { Registry } from "prom-client";
import { createRefusalCounts } from "./refusal_counts.ts";

interface CountsWorld {
  registry: Registry;
}

Given(
  "refused calls of {int} workspaces, one each, and {int} of {string}",
  function (this: CountsWorld, each: number, most: number, name: string): void {
    this.registry = new Registry();
    const { record } = createRefusalCounts([this.registry]);
    const end = buildNotRun(RefusalReason.ShareUsed, "", { retryAfterMs: 1 });
    for (let count = 0; count < most; count += 1) {
      record({ ...end, workspace: name });
    }
    for (let index = 0; index < each; index += 1) {
      record({ ...end, workspace: `w-${index}` });
    }
  },
);

Then(
  "{int} counts are shown, {int} of {string} and {int} in all",
  async function (
    this: CountsWorld,
    shown: number,
    most: number,
    name: string,
    all: number,
  ): Promise<void> {
    const [metric] = await this.registry.getMetricsAsJSON();
    const values = metric?.values ?? [];
    assert.equal(values.length, shown);
    const named = values.find(({ labels }) => labels["workspace"] === name);
    assert.equal(named?.value, most);
    assert.equal(values.reduce((sum, { value }) => sum + value, 0), all);
  },
);
