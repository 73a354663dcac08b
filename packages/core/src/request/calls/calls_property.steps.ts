/** Property test of `calls.feature`: random steps, any of which may fail in any way. */
import { strict as assert } from "node:assert";
import { Then } from "@cucumber/cucumber";
import { pauseClock, type PausedClock } from "@trefoildoor/testing";
import fc from "fast-check";
import { Outcome, RefusalReason } from "../../types/index.ts";
import { flushMicrotasks, StepFault } from "../../shared/remote_steps.test.ts";
import { type CallWorldState, createCallWorld } from "./call_world.steps.ts";
import { sendCallTo } from "./calls.steps.ts";

const keyCount = 3;
const choiceCount = 240;
/** One remote step in this many fails. */
const faultInterval = 4;
const faults = Object.values(StepFault);

/** Response that a caller received to one request. */
interface CallResponse {
  readonly key: string;
  readonly request: string;
  readonly outcome: Outcome;
  readonly reason?: RefusalReason;
  readonly body?: string;
  /** Number of runs of the key when the response arrived. */
  readonly runsAtResponse: number;
}

Then(
  "{int} random runs with seed {int} keep every promise",
  { timeout: 600_000 },
  async function (runs: number, seed: number): Promise<void> {
    const clock = pauseClock();
    const property = fc.asyncProperty(
      fc.boolean(),
      fc.array(fc.nat({ max: 0xffff }), {
        minLength: choiceCount,
        maxLength: choiceCount,
      }),
      (lookUp, choices) => runRandomly(clock, { lookUp, choices }),
    );
    try {
      await fc.assert(property, {
        seed,
        numRuns: runs,
        endOnFailure: true,
        includeErrorInReport: true,
      });
    } finally {
      clock.uninstall();
    }
  },
);

async function runRandomly(
  clock: PausedClock,
  options: { readonly lookUp: boolean; readonly choices: readonly number[] },
): Promise<void> {
  const world = createCallWorld(options.lookUp);
  const responses: CallResponse[] = [];
  const names = ["a", "b", "c"];
  for (const name of names) world.addInstance(name);
  for (const choice of options.choices) {
    await runStep(world, clock, { choice, responses });
    checkGuarantees(world, responses);
  }
  await runWithoutFaults(world, clock);
  checkGuarantees(world, responses);
  if (options.lookUp) await checkAnswers(world, clock, { responses });
  world.stop();
  await clock.tickAsync(2_000);
}

async function runStep(
  world: CallWorldState,
  clock: PausedClock,
  options: { readonly choice: number; readonly responses: CallResponse[] },
): Promise<void> {
  const { choice, responses } = options;
  const rest = Math.floor(choice / 8);
  switch (choice % 8) {
    case 0:
      sendRandomCall(world, rest, { responses });
      break;
    case 1:
      world.late.splice(rest % (world.late.length || 1), 1)[0]?.run();
      break;
    case 2:
      await clock.tickAsync(100 + rest % 1_500);
      break;
    case 3:
      // A wrong list of running instances must not break any guarantee.
      world.listInstances = () =>
        world.instances.filter((_, index) => (rest >> index) % 2 === 0)
          .map((one) => one.name);
      break;
    case 4:
      world.instances[rest % world.instances.length]?.readLog(rest % 3);
      break;
    default:
      runPending(world, rest);
  }
  await flushMicrotasks();
  replaceCrashed(world);
}

function sendRandomCall(
  world: CallWorldState,
  choice: number,
  options: { readonly responses: CallResponse[] },
): void {
  const live = world.instances.filter((one) => !world.crashed.has(one.name));
  const instance = live[choice % live.length];
  if (!instance) return;
  const key = `k${Math.floor(choice / 8) % keyCount}`;
  const request =
    `${key}-${world.log.length}-${options.responses.length}-${choice}`;
  const note = (
    end: Pick<CallResponse, "outcome" | "reason" | "body">,
  ): void => {
    const runsAtResponse = countRuns(world, key);
    options.responses.push({ key, request, runsAtResponse, ...end });
  };
  void sendCallTo(world, instance, { key, body: "x", request }).then((end) =>
    end.caseOf({ Left: note, Right: note })
  );
}

function runPending(world: CallWorldState, choice: number): void {
  const index = choice % (world.pending.length || 1);
  const fails = Math.floor(choice / 64) % faultInterval === 0;
  const fault = faults[Math.floor(choice / 256) % faults.length];
  const step = world.pending.splice(index, 1)[0];
  step?.run(fails && fault ? fault : StepFault.None);
}

function replaceCrashed(world: CallWorldState): void {
  const live = world.instances.filter((one) => !world.crashed.has(one.name));
  if (live.length < 3) world.addInstance(`n${world.instances.length}`);
}

function countRuns(world: CallWorldState, key: string): number {
  return world.runs.filter((run) => run.key === `shop/${key}`).length;
}

function checkGuarantees(
  world: CallWorldState,
  responses: readonly CallResponse[],
): void {
  for (let key = 0; key < keyCount; key++) {
    assert(countRuns(world, `k${key}`) <= 1, `k${key} ran twice`);
  }
  for (const one of responses) {
    const ran = world.runs.some((run) => run.request === one.request);
    if (one.outcome === Outcome.NotRun) {
      assert(!ran, `${one.request} ran and was called not run`);
    }
    if (one.reason === RefusalReason.NoEndpoint) {
      assert.equal(
        one.runsAtResponse,
        0,
        `${one.key} ran and was called not run`,
      );
    }
    if (one.outcome === Outcome.Done) {
      const index = world.runs.findIndex((run) =>
        run.key === `shop/${one.key}`
      );
      assert.equal(one.body, `booking ${index + 1}`, "answer of another call");
    }
  }
}

/** Runs all pending steps without faults for 40 rounds, so that open calls settle. */
async function runWithoutFaults(
  world: CallWorldState,
  clock: PausedClock,
): Promise<void> {
  world.listInstances = () =>
    world.instances.filter((one) => !world.crashed.has(one.name)).map((one) =>
      one.name
    );
  for (let round = 0; round < 40; round++) {
    for (const late of world.late.splice(0)) late.run();
    for (const step of world.pending.splice(0)) step.run(StepFault.None);
    for (const instance of world.instances) {
      if (!world.crashed.has(instance.name)) instance.readLog();
    }
    await flushMicrotasks();
    if (round % 4 === 3) await clock.tickAsync(1_000);
  }
}

/** With a look-up, every call that ran ends with its recorded answer. */
async function checkAnswers(
  world: CallWorldState,
  clock: PausedClock,
  options: { readonly responses: CallResponse[] },
): Promise<void> {
  const first = options.responses.length;
  const ran = [...new Set(world.runs.map((run) => run.key.slice(5)))];
  for (const key of ran) sendRandomCall(world, Number(key[1]) * 8, options);
  await runWithoutFaults(world, clock);
  const answers = options.responses.slice(first);
  assert.equal(answers.length, ran.length, "a repeat got no answer");
  for (const one of answers) assert.equal(one.outcome, Outcome.Done);
}
