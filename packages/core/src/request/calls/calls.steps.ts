/** Steps of `calls.feature`. */
import { After, type DataTable, Given, Then, When } from "@cucumber/cucumber";
import { pauseClock, type PausedClock } from "@trefoildoor/testing";
import type { Either } from "purify-ts";
import type { Refusal } from "../../types/index.ts";
import { listOpenCalls } from "../../process/calls/index.ts";
import type { CallAnswer } from "./call_types.ts";
import { flushMicrotasks, StepFault } from "../../shared/remote_steps.test.ts";
import {
  type CallInstance,
  type CallWorldState,
  createCallWorld,
} from "./call_world.steps.ts";
import { runCall } from "./run_call.ts";

/** State of one scenario. */
interface CallsWorld {
  clock?: PausedClock;
  callWorld: CallWorldState;
  transcript: string[];
  matchSnapshot: (received: unknown) => void;
}

After(function (this: CallsWorld): void {
  this.callWorld?.stop();
  this.clock?.uninstall();
});

Given(
  /^a desk that offers (no look-up|a look-up by key)$/,
  function (this: CallsWorld, offer: string): void {
    this.clock = pauseClock();
    this.callWorld = createCallWorld(offer !== "no look-up");
    this.transcript = [];
    this.callWorld.addInstance("a");
    this.callWorld.addInstance("b");
  },
);

When(
  "these calls are made",
  async function (this: CallsWorld, table: DataTable): Promise<void> {
    for (const row of table.hashes()) await runRow(this, row);
  },
);

When(
  "a key dated 25 hours ago is used after a day of other calls",
  async function (this: CallsWorld): Promise<void> {
    const key = formatDatedKey(Date.now());
    await runRow(this, { instance: "a", key, body: "x" });
    await runRow(this, { instance: "b", key, body: "x" });
    this.clock?.setSystemTime(Date.now() + 25 * 3_600_000);
    await runRow(this, { instance: "a", key: "k2", body: "x" });
    await runRow(this, { instance: "b", key, body: "x" });
    const future = formatDatedKey(Date.now() + 3_600_000);
    await runRow(this, { instance: "b", key: future, body: "x" });
  },
);

Then("the calls match the snapshot", function (this: CallsWorld): void {
  const reader = this.callWorld.instances.find((one) =>
    !this.callWorld.crashed.has(one.name)
  );
  reader?.readLog();
  const state = reader?.context.callTracker.stream.getState();
  this.matchSnapshot({
    answers: this.transcript,
    runs: this.callWorld.runs.map((run) => run.key),
    records: this.callWorld.log.map(({ record, writer }) =>
      `${writer} ${record.kind} ${"result" in record ? record.result : ""}`
    ),
    open: state && listOpenCalls(state).map((call) => call.key),
  });
});

async function runRow(
  world: CallsWorld,
  row: Readonly<Record<string, string>>,
): Promise<void> {
  if (row.instance === "late") {
    for (const late of world.callWorld.late.splice(0)) late.run();
    await runSteps(world, {});
    return;
  }
  const instance = world.callWorld.instances.find((one) =>
    one.name === row.instance
  );
  if (!instance) throw new Error(`no instance "${row.instance}"`);
  const end = sendCallTo(world.callWorld, instance, {
    key: row.key || undefined,
    body: row.body ?? "",
    request: String(world.transcript.length),
  });
  let text = "no answer";
  void end.then((either) => {
    text = formatEnd(either);
  });
  await runSteps(world, { fault: row.fault, sender: instance });
  const fault = row.fault ? ` (${row.fault})` : "";
  world.transcript.push(
    `${row.instance} ${row.key} ${row.body}${fault}: ${text}`,
  );
}

/** Runs 60 rounds of pending remote steps; a round that leaves none pending advances the clock by 200 ms. */
async function runSteps(
  world: CallsWorld,
  options: { readonly fault?: string; readonly sender?: CallInstance },
): Promise<void> {
  const { callWorld, clock } = world;
  let fault = options.fault;
  for (let round = 0; round < 60; round++) {
    await flushMicrotasks();
    for (const step of callWorld.pending.splice(0)) {
      const hit = fault?.startsWith(`${step.kind} `) &&
        step.instance === options.sender?.name;
      step.run(
        hit ? fault?.slice(step.kind.length + 1) as StepFault : StepFault.None,
      );
      if (hit) fault = undefined;
    }
    for (const instance of callWorld.instances) {
      if (!callWorld.crashed.has(instance.name)) instance.readLog();
    }
    await flushMicrotasks();
    if (callWorld.pending.length === 0) await clock?.tickAsync(200);
  }
}

/** Sends one call to an instance. */
export function sendCallTo(
  callWorld: CallWorldState,
  instance: CallInstance,
  callOptions: {
    readonly key: string | undefined;
    readonly body: string;
    readonly request: string;
  },
): Promise<Either<Refusal, CallAnswer>> {
  return runCall({
    caller: "shop",
    service: callWorld.service,
    request: {
      method: "POST",
      path: "/bookings",
      headers: { request: callOptions.request },
      body: callOptions.body,
      key: callOptions.key,
    },
    signal: new AbortController().signal,
  }, instance.context);
}

function formatEnd(end: Either<Refusal, CallAnswer>): string {
  return end.caseOf({
    Left: (refusal) => `${refusal.outcome}, ${refusal.reason}`,
    Right: (answer) =>
      `${answer.outcome}, ${answer.body}${answer.repeated ? ", repeated" : ""}`,
  });
}

function formatDatedKey(timeMs: number): string {
  const hex = timeMs.toString(16).padStart(12, "0");
  return `${hex.slice(0, 8)}-${hex.slice(8)}-7000-8000-000000000000`;
}
