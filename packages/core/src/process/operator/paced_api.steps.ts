/** Steps of the pace of calls in `usage.feature`. */
import { strict as assert } from "node:assert";
import { Given, Then, When } from "@cucumber/cucumber";
import { pauseClock, type PausedClock } from "@trefoildoor/testing";
import { OperatorAnswer, type OperatorApi } from "../../types/index.ts";
import { createPacedApi } from "./index.ts";

/** State of one scenario. */
interface PaceWorld {
  usageClock?: PausedClock;
  paced: OperatorApi;
  madeMs: number[];
  answers: OperatorAnswer[];
}

const msPerSecond = 1_000;
const stamp = { holder: "i0", fence: 1 };

Given("an operator that takes {int} calls a second", function (
  this: PaceWorld,
  callsPerSecond: number,
): void {
  this.usageClock = pauseClock();
  this.madeMs = [];
  this.answers = [];
  const receive = (): Promise<OperatorAnswer> => {
    this.madeMs.push(performance.now());
    return Promise.resolve(OperatorAnswer.Accepted);
  };
  this.paced = createPacedApi(
    { sendUsage: receive, orderEndpoints: receive },
    { callsPerSecond },
  );
});

When("{int} calls are tried in each second for {int} s", async function (
  this: PaceWorld,
  calls: number,
  seconds: number,
): Promise<void> {
  for (let each = 0; each < calls * seconds; each++) {
    this.answers.push(
      await this.paced.sendUsage({ window: 1, counts: {} }, stamp, {
        mayWrite: () => true,
      }),
    );
    this.usageClock?.tick(msPerSecond / calls);
  }
});

Then(
  "it got at most {int} in any second, and the others count as limited",
  function (this: PaceWorld, most: number): void {
    for (const [index, atMs] of this.madeMs.entries()) {
      const later = this.madeMs[index + most] ?? Infinity;
      assert.ok(later - atMs >= msPerSecond);
    }
    const limited = this.answers.filter((answer) =>
      answer === OperatorAnswer.RateLimited
    );
    assert.ok(this.madeMs.length > most);
    assert.equal(limited.length, this.answers.length - this.madeMs.length);
  },
);
