/** Steps of `starved_instances.feature`. */
import { strict as assert } from "node:assert";
import { Given, Then, When } from "@cucumber/cucumber";
import { MemberState, waitFor } from "@trefoildoor/core";
import { CallKind, type KindAnswer, sendKind } from "./calls_of_kinds.ts";
import {
  faultStepTimeoutMs,
  type FaultWorld,
  getFleet,
  getInstance,
} from "./fault_world.ts";

/** State of one scenario. */
interface StarvedWorld extends FaultWorld {
  answers: readonly KindAnswer[];
  leftMs: number;
  left: ReadonlySet<string>;
}

const timeout = { timeout: faultStepTimeoutMs };
/** Time in which the instance learns of all engines, in ms. */
const settleMs = 2_000;
/** Statuses of calls that are done. */
const firstSuccess = 200;
const firstOther = 300;

Given("the list of processes takes {int} ms to answer", function (
  this: StarvedWorld,
  ms: number,
): void {
  getFleet(this).members.faults.delayMs = ms;
});

When(
  "{string} gets no processor time for {int} ms, in which every other endpoint leaves and {int} calls of each kind come",
  timeout,
  async function (
    this: StarvedWorld,
    name: string,
    ms: number,
    count: number,
  ): Promise<void> {
    const { engines, services, members } = getFleet(this);
    await waitFor(settleMs);
    const instance = getInstance(this, name);
    instance.pause();
    const left = [engines, services].flatMap((endpoints) =>
      endpoints.filter((_, index) => index % 2 === 0).map((each) => each.name)
    );
    this.left = new Set(left);
    for (const each of left) members.setState(each, MemberState.Leaving);
    this.leftMs = performance.now();
    const calls = Object.values(CallKind).flatMap((kind) =>
      Array.from(
        { length: count },
        (_, index) => sendKind(this, { name, kind, key: `key-${index}` }),
      )
    );
    await waitFor(ms);
    instance.resume();
    this.answers = await Promise.all(calls);
  },
);

Then(
  "no endpoint has got new work later than {int} s after it left",
  function (this: StarvedWorld, seconds: number): void {
    const { engines, services } = getFleet(this);
    const boundMs = this.leftMs + seconds * 1_000;
    const late = [
      ...engines.map(({ name, standin }) => ({
        name,
        times: standin.listGenerations().map(({ startedMs }) => startedMs),
      })),
      ...services.map(({ name, standin }) => ({
        name,
        times: standin.listRuns().map(({ atMs }) => atMs),
      })),
    ].filter(({ name, times }) =>
      this.left.has(name) && times.some((atMs) => atMs > boundMs)
    );
    assert.deepEqual(late.map(({ name }) => name), []);
  },
);

Then("all of these calls are done", function (this: StarvedWorld): void {
  const others = this.answers.filter(({ status }) =>
    status < firstSuccess || status >= firstOther
  );
  assert.deepEqual(others, []);
});
