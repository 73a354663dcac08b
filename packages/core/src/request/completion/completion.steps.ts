/** Steps of `completion.feature`. */
import assert from "node:assert/strict";
import { After, Before, Given, Then, When } from "@cucumber/cucumber";
import { pauseClock, type PausedClock } from "@trefoildoor/testing";
import { Left, Right } from "purify-ts";
import { bundleSchema } from "../../types/index.ts";
import {
  type BundleCaller,
  Effect,
  type EngineClient,
  FinishReason,
  type GenerateEvent,
  Outcome,
  Priority,
  RefusalReason,
  RemoteError,
  RemoteFailure,
} from "../../types/index.ts";
import { waitFor } from "../../shared/index.ts";
import { streamCompletion } from "./stream_completion.ts";
import type {
  CompletionCall,
  CompletionDependencies,
  CompletionEvent,
} from "./types.ts";

/** Scripted behavior of an engine's streams. */
interface EngineScript {
  /** Number of tokens after which the connection breaks. */
  readonly breaksAfter?: number;
  /** Number of tokens after which the stream sends nothing more. */
  readonly silentAfter?: number;
  /** Index of a token that is left out; indexes start at 0. */
  readonly skips?: number;
  readonly refuses?: boolean;
  /** Whether the engine can resume the stream; otherwise it refuses to. */
  readonly resumes?: boolean;
}

/** State of one scenario. */
interface CompletionWorld {
  completionClock?: PausedClock;
  scripts: Map<string, EngineScript>;
  /** Events of the completion, calls of engines and ends of attempts, in order. */
  history: unknown[];
  /** Engine that leaves while its prompt is exported. */
  leavingEngine?: string;
  /** Whether the export has begun. */
  exportBegan?: boolean;
  /** Time that the choice of an engine takes. */
  choiceDelayMs?: number;
  /** Time from the start of the completion to its end. */
  durationMs?: number;
  matchSnapshot: (received: unknown) => void;
}

const stallTimeoutMs = 5_000;
const stepMs = 100;
const maxSteps = 10_000;

Before(function (this: CompletionWorld): void {
  this.scripts = new Map();
  this.history = [];
});

After(function (this: CompletionWorld): void {
  this.completionClock?.uninstall();
});

Given(
  "an engine {string} that answers",
  function (this: CompletionWorld, name: string): void {
    this.scripts.set(name, {});
  },
);

Given(
  "an engine {string} that refuses",
  function (this: CompletionWorld, name: string): void {
    this.scripts.set(name, { refuses: true });
  },
);

Given(
  "an engine {string} whose stream breaks after {int} tokens and resumes",
  function (this: CompletionWorld, name: string, breaksAfter: number): void {
    this.scripts.set(name, { breaksAfter, resumes: true });
  },
);

Given(
  "an engine {string} whose stream breaks after {int} tokens and is gone",
  function (this: CompletionWorld, name: string, breaksAfter: number): void {
    this.scripts.set(name, { breaksAfter, resumes: false });
  },
);

Given(
  "an engine {string} whose stream falls silent after {int} tokens and resumes",
  function (this: CompletionWorld, name: string, silentAfter: number): void {
    this.scripts.set(name, { silentAfter, resumes: true });
  },
);

Given(
  "an engine {string} whose stream falls silent after {int} tokens and is gone",
  function (this: CompletionWorld, name: string, silentAfter: number): void {
    this.scripts.set(name, { silentAfter, resumes: false });
  },
);

Given(
  "an engine {string} whose stream skips token {int} and is gone",
  function (this: CompletionWorld, name: string, skips: number): void {
    this.scripts.set(name, { skips });
  },
);

Given(
  "{string} leaves while a prompt for it is exported",
  function (this: CompletionWorld, name: string): void {
    this.leavingEngine = name;
  },
);

Given(
  "a choice of engines that takes {int} ms",
  function (this: CompletionWorld, choiceMs: number): void {
    this.choiceDelayMs = choiceMs;
  },
);

Then(
  "the completion ended after {int} ms",
  function (this: CompletionWorld, ms: number): void {
    assert.equal(this.durationMs, ms);
  },
);

Then(
  "the completion is refused with {string} and the outcome {string}",
  function (this: CompletionWorld, reason: string, outcome: string): void {
    const last = this.history.at(-1) as CompletionEvent;
    assert.ok(last.kind === "refused", JSON.stringify(last));
    assert.equal(last.refusal.reason, reason);
    assert.equal(last.refusal.outcome, outcome);
  },
);

When(
  "a completion of {int} tokens runs",
  async function (this: CompletionWorld, tokens: number): Promise<void> {
    await runCompletion(this, { tokens });
  },
);

When(
  "a completion of {int} tokens runs for a caller that takes {int} ms for each token",
  async function (
    this: CompletionWorld,
    tokens: number,
    readMs: number,
  ): Promise<void> {
    await runCompletion(this, { tokens, readMs });
  },
);

When(
  "a completion of {int} tokens runs with a deadline of {int} ms",
  async function (
    this: CompletionWorld,
    tokens: number,
    deadlineMs: number,
  ): Promise<void> {
    await runCompletion(this, { tokens, deadlineMs });
  },
);

Then(
  "the events of the completion match the snapshot",
  function (this: CompletionWorld): void {
    this.matchSnapshot(this.history);
  },
);

async function runCompletion(
  world: CompletionWorld,
  options: {
    readonly tokens: number;
    /** Time that the caller takes for each event. */
    readonly readMs?: number;
    readonly deadlineMs?: number;
  },
): Promise<void> {
  const clock = pauseClock();
  world.completionClock = clock;
  const call = buildCall(options);
  const signal = new AbortController().signal;
  const startMs = performance.now();
  let ended = false;
  const reading = (async (): Promise<void> => {
    for await (
      const event of streamCompletion(call, buildDependencies(world), {
        signal,
      })
    ) {
      world.history.push(event);
      if (options.readMs) {
        await new Promise((resolve) => setTimeout(resolve, options.readMs));
      }
    }
    world.durationMs = performance.now() - startMs;
    ended = true;
  })();
  for (let step = 0; !ended && step < maxSteps; step++) {
    await clock.tickAsync(stepMs);
  }
  if (!ended) throw new Error("completion did not end");
  await reading;
}

function buildCall(
  options: { readonly tokens: number; readonly deadlineMs?: number },
): CompletionCall {
  return {
    requestId: "request",
    caller: buildCaller(),
    model: "reader",
    prompt: "free tents",
    promptTokens: 2,
    prefixes: [],
    maxTokens: options.tokens,
    priority: Priority.Normal,
    deadlineMs: options.deadlineMs ?? 3_600_000,
    digest: "digest",
  };
}

function buildCaller(): BundleCaller {
  return bundleSchema.shape.callers.unwrap().element.parse({
    name: "shop",
    "key_sha256": "0".repeat(64),
  });
}

function buildDependencies(world: CompletionWorld): CompletionDependencies {
  return {
    admit: () =>
      Promise.resolve(Right({ recordFirstToken: () => {}, close: () => {} })),
    chooseRoute: async (_call, excluded, { signal }) => {
      if (world.choiceDelayMs) await waitFor(world.choiceDelayMs, signal);
      const engine = [...world.scripts.keys()].find((name) =>
        !excluded.has(name)
      );
      if (engine === undefined) {
        return Left({
          reason: RefusalReason.NoEndpoint,
          outcome: Outcome.NotRun,
          message: "No engine is left",
        });
      }
      const estimates = {
        expectedFirstTokenMs: 0,
        expectedTokenMs: 0,
        cachedTokens: 0,
      };
      const prefillEngine = world.leavingEngine && "prefill";
      return Right({
        engine,
        prefillEngine,
        ...estimates,
        release: () => {},
      });
    },
    getEngine: (name) => buildEngine(name, world),
    getSoftwareVersion: () => "",
    allowResume: () => true,
    isLeaving: (name) =>
      world.exportBegan === true &&
      name === world.leavingEngine,
    openWork: () => ({
      recordFirstToken: () => {},
      recordToken: () => {},
      close: () => {},
      getStallTimeoutMs: () => stallTimeoutMs,
    }),
    allowRetry: () => true,
    handleAttemptEnd: (_call, { engine, end }) => {
      world.history.push({ attempt: engine, end });
      return Promise.resolve();
    },
  };
}

function buildEngine(name: string, world: CompletionWorld): EngineClient {
  const script = world.scripts.get(name) ?? {};
  const unused = (): Promise<never> =>
    Promise.reject(new Error("not part of this test"));
  return {
    generate: (request, signal) => {
      world.history.push({ generate: name, after: request.resumeTokens });
      const from = request.resumeTokens?.length ?? 0;
      return generateEvents(script, { from, to: request.maxTokens, signal });
    },
    resume: ({ fromIndex }, signal) => {
      world.history.push({ resume: name, fromIndex });
      const next = script.resumes ? {} : { refuses: true };
      // A resumed stream may repeat the last delivered token.
      return generateEvents(next, {
        from: Math.max(0, fromIndex - 1),
        to: 5, // whatever length the call asked for
        signal,
      });
    },
    cancel: () => {
      world.history.push({ cancel: name });
      return Promise.resolve();
    },
    fetchLoad: unused,
    fetchState: unused,
    order: unused,
    exportKv: () => {
      world.exportBegan = true;
      return Promise.resolve("handle");
    },
  };
}

async function* generateEvents(
  script: EngineScript,
  options: {
    readonly from: number;
    readonly to: number;
    readonly signal: AbortSignal;
  },
): AsyncGenerator<GenerateEvent> {
  if (script.refuses) throw makeError(RemoteFailure.Busy, Effect.None);
  for (let index = options.from; index < options.to; index++) {
    if (index === script.breaksAfter) {
      throw makeError(RemoteFailure.Unreachable, Effect.Unknown);
    }
    if (index === script.silentAfter) await waitForAbort(options.signal);
    if (index !== script.skips) {
      yield { kind: "token", index, text: `t${index}` };
    }
  }
  yield { kind: "finish", reason: FinishReason.Length, promptTokens: 2 };
}

function waitForAbort(signal: AbortSignal): Promise<never> {
  return new Promise((_resolve, reject) => {
    signal.addEventListener(
      "abort",
      () => reject(makeError(RemoteFailure.Aborted, Effect.Unknown)),
    );
  });
}

function makeError(failure: RemoteFailure, effect: Effect): RemoteError {
  return new RemoteError(failure, { failure, effect });
}
