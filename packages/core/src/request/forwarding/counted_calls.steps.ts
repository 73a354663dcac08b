/** Steps of `counted_calls.feature`. */
import { strict as assert } from "node:assert";
import { Then } from "@cucumber/cucumber";
import type { ForwardWorld } from "./forward_world.test.ts";

Then("{int} call is counted as begun", function (
  this: ForwardWorld,
  calls: number,
): void {
  assert.equal(this.begun, calls);
});

Then("{int} prompt tokens are counted as missing", function (
  this: ForwardWorld,
  tokens: number,
): void {
  // An estimate adds a part in a thousand.
  assert.equal(Math.round(this.missingTokens), tokens);
});
