/** Steps of `held_bytes.feature`. */
import assert from "node:assert/strict";
import { type DataTable, Given, Then, When } from "@cucumber/cucumber";
import {
  type AnswerBytes,
  createHeldBytes,
  type HeldBytes,
} from "./held_bytes.ts";

/** State of one scenario. */
interface HeldWorld {
  held: HeldBytes;
  taken: AnswerBytes[];
}

const partBytes = 10_000;

Given("a bound of {int} bytes", function (
  this: HeldWorld,
  maxBytes: number,
): void {
  this.held = createHeldBytes(maxBytes);
  this.taken = [];
});

Then("these answers are taken, in turn", function (
  this: HeldWorld,
  table: DataTable,
): void {
  for (const { bytes, taken } of table.hashes()) {
    const answer = this.held.openAnswer();
    let isTaken = true;
    for (let at = 0; at < Number(bytes) && isTaken; at += partBytes) {
      isTaken = answer.add(partBytes);
    }
    assert.equal(isTaken, taken === "yes", bytes);
    if (isTaken) this.taken.push(answer);
    else answer.release();
  }
});

When("the first of them is released", function (this: HeldWorld): void {
  this.taken[0]?.release();
});
