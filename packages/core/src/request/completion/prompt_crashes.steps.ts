/** Steps of `prompt_crashes.feature`. */
import { strict as assert } from "node:assert";
import { After, Given, Then, When } from "@cucumber/cucumber";
import { pauseClock, type PausedClock } from "@trefoildoor/testing";
import { Right } from "purify-ts";
import { Outcome, RefusalReason } from "../../types/index.ts";
import { createSuspects } from "../suspects/index.ts";
import {
  AttemptEnd,
  type CompletionCall,
  type CompletionContext,
  type CompletionDependencies,
  createCompletionDependencies,
  createInFlightRequests,
  createPromptCrashes,
  type VersionRouting,
} from "./index.ts";

/** One instance with what decides on its completions. */
interface DaemonInstance {
  readonly context: CompletionContext;
  readonly dependencies: CompletionDependencies;
}

/** State of one scenario. */
interface PromptWorld {
  promptClock?: PausedClock;
  daemons: readonly DaemonInstance[];
  prompts: number;
  /** Engines whose processes have ended. */
  ended: Set<string>;
}

/** Longer than the time in which an engine must answer a probe. */
const probeMs = 3_000;

After(function (this: PromptWorld): void {
  this.promptClock?.uninstall();
});

function createDaemon(world: PromptWorld, instance: string): DaemonInstance {
  const context = {
    table: {
      getView: (engine: string) => ({ report: { startId: `${engine}-1` } }),
      setFlags: () => undefined,
    },
    admission: { enter: () => Promise.resolve(Right({})) },
    suspects: createSuspects({ instance }),
    promptCrashes: createPromptCrashes({ logEvent: () => undefined }),
    inFlight: createInFlightRequests(),
  } as unknown as CompletionContext;
  const version = {
    getEngine: (engine: string) => ({
      fetchState: () =>
        world.ended.has(engine)
          ? Promise.reject(new Error("connection refused"))
          : Promise.resolve({ startId: `${engine}-1` }),
    }),
  } as unknown as VersionRouting;
  return {
    context,
    dependencies: createCompletionDependencies(context, version),
  };
}

function buildPrompt(world: PromptWorld, prefixes: string): CompletionCall {
  world.prompts += 1;
  const id = `prompt-${world.prompts}`;
  return {
    requestId: id,
    digest: id,
    prefixes: prefixes.split(" "),
    caller: { name: "caller", share: 1 },
  } as unknown as CompletionCall;
}

function exchangeEvidence({ daemons }: PromptWorld): void {
  for (const { context: from } of daemons) {
    for (const { context: to } of daemons) {
      if (from === to) continue;
      to.suspects.mergeEvidence(from.suspects.getEvidence());
      to.promptCrashes.mergeEvidence(from.promptCrashes.getEvidence());
    }
  }
}

/** Loses the first of the prompts at one engine while the others are in flight there. */
async function breakPrompts(
  world: PromptWorld,
  engine: string,
  { instance, prompts }: {
    readonly instance: number;
    readonly prompts: readonly string[];
  },
): Promise<void> {
  const daemon = world.daemons[instance % world.daemons.length];
  assert.ok(daemon);
  const calls = prompts.map((prefixes) => buildPrompt(world, prefixes));
  const releases = calls.map((call) =>
    daemon.context.inFlight.add(engine, call)
  );
  const [lost] = calls;
  assert.ok(lost);
  const handled = daemon.dependencies.handleAttemptEnd(lost, {
    engine,
    end: AttemptEnd.Lost,
    signal: new AbortController().signal,
  });
  await world.promptClock?.tickAsync(probeMs);
  await handled;
  for (const release of releases) release();
  exchangeEvidence(world);
}

async function finishPrompt(
  world: PromptWorld,
  prefixes: string,
): Promise<void> {
  await world.daemons[0]?.dependencies.handleAttemptEnd(
    buildPrompt(world, prefixes),
    {
      engine: "e0",
      end: AttemptEnd.Finished,
      signal: new AbortController().signal,
    },
  );
  exchangeEvidence(world);
}

Given("two instances that exchange evidence", function (
  this: PromptWorld,
): void {
  this.promptClock = pauseClock();
  this.prompts = 0;
  this.ended = new Set();
  this.daemons = ["a", "b"].map((name) => createDaemon(this, name));
});

When(
  /^(\d+) engines crash, each under a new prompt "(.+?)" beside one "(.+?)"(, with completed ones in between)?$/,
  async function (
    this: PromptWorld,
    count: string,
    prompt: string,
    beside: string,
    completed: string | null,
  ): Promise<void> {
    await finishPrompt(this, beside);
    for (let each = 0; each < Number(count); each++) {
      const engine = `e${each}`;
      this.ended.add(engine);
      await breakPrompts(this, engine, {
        instance: each,
        prompts: [prompt, beside],
      });
      if (completed && each % 2 === 1) await finishPrompt(this, prompt);
    }
  },
);

When(
  "{int} new prompts {string} lose their connections to engines that go on",
  async function (
    this: PromptWorld,
    count: number,
    prompt: string,
  ): Promise<void> {
    for (let each = 0; each < count; each++) {
      await breakPrompts(this, `e${each}`, {
        instance: each,
        prompts: [prompt],
      });
    }
  },
);

Then(
  /^both instances (refuse|admit) a new prompt "(.+?)"(?: as not run)?$/,
  async function (
    this: PromptWorld,
    verdict: string,
    prefixes: string,
  ): Promise<void> {
    for (const { dependencies } of this.daemons) {
      const admitted = await dependencies.admit(
        buildPrompt(this, prefixes),
        new AbortController().signal,
      );
      assert.equal(admitted.isLeft(), verdict === "refuse");
      admitted.ifLeft(({ reason, outcome, retryAfterMs }) => {
        assert.equal(reason, RefusalReason.Suspect);
        assert.equal(outcome, Outcome.NotRun);
        assert.ok(Number(retryAfterMs) > 0);
      });
    }
  },
);
