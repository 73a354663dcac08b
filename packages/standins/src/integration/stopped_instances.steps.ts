/** Steps of `stopped_instances.feature`. */
import { strict as assert } from "node:assert";
import { Given, Then, When } from "@cucumber/cucumber";
import { waitFor } from "@trefoildoor/core";
import {
  CallKind,
  isCompletion,
  type KindAnswer,
  sendKind,
} from "./calls_of_kinds.ts";
import {
  faultStepTimeoutMs,
  type FaultWorld,
  getFleet,
  getInstance,
  startFaultFleet,
} from "./fault_world.ts";

/** State of one scenario. */
interface StoppedWorld extends FaultWorld {
  answer?: KindAnswer;
  exitCode?: number;
  /** Time from the request to stop until the process is over, in ms. */
  tookMs?: number;
}

const timeout = { timeout: faultStepTimeoutMs };

Given(
  "the instance {string} with a notice of {int} ms and {int} ms to stop",
  timeout,
  async function (
    this: StoppedWorld,
    name: string,
    noticeMs: number,
    deadlineMs: number,
  ): Promise<void> {
    await startFaultFleet(this, {
      names: [name],
      settings: { stop: { notice_ms: noticeMs, deadline_ms: deadlineMs } },
    });
    await waitFor(1_000);
  },
);

async function stopInstance(world: StoppedWorld, name: string): Promise<void> {
  const startMs = performance.now();
  world.exitCode = await getInstance(world, name).terminate();
  world.tookMs = performance.now() - startMs;
}

When(
  /^"(\w+)" is asked to stop, and a (.+) comes (-?\d+) ms later whose endpoint takes (\d+) ms$/,
  timeout,
  async function (
    this: StoppedWorld,
    name: string,
    kind: CallKind,
    laterMs: string,
    takesMs: string,
  ): Promise<void> {
    const { engines, services } = getFleet(this);
    const busy = isCompletion(kind) ? engines : services;
    for (const { standin } of busy) {
      standin.faults.matches = (method, path) =>
        /completions|bookings|stock/.test(path) && method !== "";
      standin.faults.delayMs = Number(takesMs);
    }
    const before = Math.max(-Number(laterMs), 0);
    const early = before > 0 ? sendKind(this, { name, kind }) : undefined;
    await waitFor(before);
    const stopped = stopInstance(this, name);
    await waitFor(Math.max(Number(laterMs), 0));
    this.answer = await (early ?? sendKind(this, { name, kind }));
    await stopped;
  },
);

When(
  "{string} is asked to stop while a streamed completion of {int} tokens is written",
  timeout,
  async function (
    this: StoppedWorld,
    name: string,
    tokens: number,
  ): Promise<void> {
    const kind = CallKind.StreamedCompletion;
    const pending = sendKind(this, { name, kind, tokens });
    await waitFor(500);
    const stopped = stopInstance(this, name);
    this.answer = await pending;
    await stopped;
  },
);

Then(
  "the call is answered as unknown with the status {int}",
  function (this: StoppedWorld, status: number): void {
    assert.equal(this.answer?.status, status, this.answer?.text);
    assert.equal(this.answer?.outcome, "unknown");
  },
);

Then("the stream ends with the refusal {string}", function (
  this: StoppedWorld,
  reason: string,
): void {
  const last = this.answer?.text.trim().split("\n\n").at(-1) ?? "";
  assert.match(last, new RegExp(reason), this.answer?.text.slice(-600));
});

Then(
  "the instance has exited with code {int} within {int} s",
  function (this: StoppedWorld, code: number, seconds: number): void {
    assert.equal(this.exitCode, code);
    assert.ok((this.tookMs ?? Infinity) < seconds * 1_000, `${this.tookMs} ms`);
  },
);
