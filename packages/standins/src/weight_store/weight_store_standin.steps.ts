/** Steps of `weight_store_standin.feature`. */
import assert from "node:assert/strict";
import { After, Given, Then, When } from "@cucumber/cucumber";
import { openWeightStore, waitFor, type WeightGrant } from "@trefoildoor/core";
import {
  startWeightStoreStandin,
  type WeightStoreStandin,
} from "./weight_store_standin.ts";

/** State of one scenario. */
interface WeightWorld {
  weightStandin: WeightStoreStandin;
  weightClient: ReturnType<typeof openWeightStore>;
  weightGrants: WeightGrant[];
}

Given(
  "a weight store stand-in that grants {int} loads in {int} ms",
  async function (
    this: WeightWorld,
    loadsPerWindow: number,
    windowMs: number,
  ): Promise<void> {
    this.weightStandin = await startWeightStoreStandin({
      loadsPerWindow,
      windowMs,
    });
    const { address } = this.weightStandin;
    this.weightClient = openWeightStore({ address });
    this.weightGrants = [];
  },
);

When(
  "{int} loads are asked for at once",
  async function (this: WeightWorld, count: number): Promise<void> {
    for (let load = 0; load < count; load++) {
      this.weightGrants.push(
        await this.weightClient.reserveWeightLoad(`draft ${load}`),
      );
    }
  },
);

Then(
  "the weight store grants, grants and refuses, and grants again after the given time",
  async function (this: WeightWorld): Promise<void> {
    assert.deepEqual(this.weightGrants.map(({ granted }) => granted), [
      true,
      true,
      false,
    ]);
    await waitFor(this.weightGrants[2]?.retryAfterMs ?? 0);
    const later = await this.weightClient.reserveWeightLoad("draft 2");
    assert.equal(later.granted, true);
    assert.equal(this.weightStandin.listGrants().length, 3);
    assert.equal(this.weightStandin.countRefusals(), 1);
  },
);

After(async function (this: Partial<WeightWorld>): Promise<void> {
  await this.weightClient?.close();
  await this.weightStandin?.close();
});
