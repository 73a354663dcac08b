/** Steps of `engine_standin.feature`. */
import { After, Given, Then, When } from "@cucumber/cucumber";
import {
  digestText,
  type EngineClient,
  EngineRole,
  FenceCheck,
  type GenerateEvent,
  type GenerateRequest,
  openEndpointClients,
  Priority,
  RemoteError,
} from "@trefoildoor/core";
import { waitUntil } from "@trefoildoor/testing";
import { buildToken } from "./batch.ts";
import type { EngineStandinOptions } from "./engine_options.ts";
import { type EngineStandin, startEngineStandin } from "./engine_standin.ts";

/** State of one scenario. */
interface EngineWorld {
  engineStandins: EngineStandin[];
  engineClients: ReturnType<typeof openEndpointClients>;
  engineClient: EngineClient;
  engineAnswers: unknown[];
  matchSnapshot: (received: unknown) => void;
}

const models = [{ model: "draft", version: "1", adapters: [] }];
const fastEngine = {
  decodeStepMs: 1,
  prefillTokensPerSecond: 1e6,
  roleChangeMs: 150,
  restartMs: 50,
  holdMs: 1_000,
};

async function startEngine(
  world: EngineWorld,
  options: EngineStandinOptions = {},
): Promise<EngineClient> {
  const engine = await startEngineStandin({ ...fastEngine, ...options });
  world.engineStandins = [...world.engineStandins ?? [], engine];
  world.engineClients ??= openEndpointClients();
  world.engineAnswers ??= [];
  return world.engineClients.openEngine(engine.address, engine.address);
}

function buildRequest(
  prompt: string,
  maxTokens: number,
  options: Partial<GenerateRequest> = {},
): GenerateRequest {
  return {
    attemptId: `attempt of ${prompt.slice(0, 40)}`,
    model: "draft",
    prompt,
    maxTokens,
    priority: Priority.Normal,
    ...options,
  };
}

/** Collects events until the end, the limit, or the failure, which is the last element. */
async function readEvents(
  stream: AsyncIterable<GenerateEvent>,
  limit = Infinity,
): Promise<unknown[]> {
  const events: unknown[] = [];
  try {
    for await (const event of stream) {
      events.push(event.kind === "token" ? event.text : event);
      if (events.length >= limit) return events;
    }
  } catch (error) {
    events.push(describeFailure(error));
  }
  return events;
}

function describeFailure(error: unknown): unknown {
  if (!(error instanceof RemoteError)) throw error;
  return { failure: error.failure, effect: error.effect };
}

const never = new AbortController().signal;

Given("an engine stand-in", async function (this: EngineWorld): Promise<void> {
  this.engineClient = await startEngine(this);
});

Given(
  "an engine stand-in that ignores numbers",
  async function (this: EngineWorld): Promise<void> {
    const fenceCheck = FenceCheck.Ignored;
    this.engineClient = await startEngine(this, { fenceCheck });
  },
);

Given(
  "an engine stand-in whose reports lag by {int} ms",
  async function (this: EngineWorld, reportLagMs: number): Promise<void> {
    this.engineClient = await startEngine(this, { reportLagMs });
  },
);

When(
  "the prompt {string} is completed with {int} tokens",
  async function (
    this: EngineWorld,
    prompt: string,
    count: number,
  ): Promise<void> {
    const stream = this.engineClient.generate(
      buildRequest(prompt, count),
      never,
    );
    this.engineAnswers.push(await readEvents(stream));
  },
);

When(
  "the prompt {string} is completed with {int} tokens after {int} delivered ones",
  async function (
    this: EngineWorld,
    prompt: string,
    count: number,
    delivered: number,
  ): Promise<void> {
    const resumeTokens = Array.from(
      { length: delivered },
      (_, index) => buildToken(digestText(prompt), index),
    );
    const request = buildRequest(prompt, count, { resumeTokens });
    const stream = this.engineClient.generate(request, never);
    this.engineAnswers.push(await readEvents(stream));
  },
);

When(
  "the prompt {string} is cut after {int} of {int} tokens and resumed",
  async function (
    this: EngineWorld,
    prompt: string,
    delivered: number,
    count: number,
  ): Promise<void> {
    const request = buildRequest(prompt, count);
    const first = this.engineClient.generate(request, never);
    this.engineAnswers.push(await readEvents(first, delivered));
    const rest = this.engineClient.resume({
      attemptId: request.attemptId,
      fromIndex: delivered,
    }, never);
    this.engineAnswers.push(await readEvents(rest));
  },
);

When(
  "a generation of {int} tokens is cancelled after its first token",
  async function (this: EngineWorld, count: number): Promise<void> {
    const request = buildRequest("cancelled", count);
    const stream = this.engineClient.generate(request, never);
    this.engineAnswers.push(await readEvents(stream, 1));
    await this.engineClient.cancel(request.attemptId);
  },
);

When(
  "the prompt {string} crashes the engine under a running neighbour",
  async function (this: EngineWorld, prompt: string): Promise<void> {
    const [engine] = this.engineStandins;
    engine?.crashDigests.add(digestText(prompt));
    const before = await this.engineClient.fetchState();
    const neighbour = this.engineClient.generate(
      buildRequest("neighbour", 100_000),
      never,
    );
    const neighbourEvents = readEvents(neighbour);
    await waitUntil(
      "the neighbour runs",
      () => (engine?.getState().running ?? 0) > 0,
    );
    const stream = this.engineClient.generate(buildRequest(prompt, 5), never);
    this.engineAnswers.push(await readEvents(stream));
    this.engineAnswers.push((await neighbourEvents).at(-1));
    await waitUntil("the engine has restarted", async () => {
      const state = await this.engineClient.fetchState().catch(() => undefined);
      return state !== undefined && state.startId !== before.startId;
    });
  },
);

When(
  "it is ordered to role {string} with number {int}",
  async function (
    this: EngineWorld,
    role: EngineRole,
    fence: number,
  ): Promise<void> {
    const answer = await this.engineClient.order({
      fence,
      fenceOnly: false,
      target: { role, models },
    }).catch(describeFailure);
    this.engineAnswers.push(pickStable(answer));
  },
);

When(
  "its number is raised to {int}",
  async function (this: EngineWorld, fence: number): Promise<void> {
    const target = { role: EngineRole.Mixed, models };
    const order = { fence, fenceOnly: true, target };
    this.engineAnswers.push(pickStable(await this.engineClient.order(order)));
  },
);

When(
  "a generation runs into an order to role {string}",
  async function (this: EngineWorld, role: EngineRole): Promise<void> {
    const running = this.engineClient.generate(
      buildRequest("undrained", 100_000),
      never,
    );
    const events = readEvents(running);
    await waitUntil(
      "the generation runs",
      () => (this.engineStandins[0]?.getState().running ?? 0) > 0,
    );
    const target = { role, models };
    await this.engineClient.order({ fence: 3, fenceOnly: false, target });
    const refused = this.engineClient.generate(buildRequest("new", 5), never);
    this.engineAnswers.push((await events).at(-1));
    this.engineAnswers.push(await readEvents(refused));
  },
);

When(
  "it is paused during a generation of {int} tokens and resumed",
  async function (this: EngineWorld, count: number): Promise<void> {
    const [engine] = this.engineStandins;
    engine?.pause();
    const stream = this.engineClient.generate(
      buildRequest("paused", count),
      never,
    );
    const events = readEvents(stream);
    const load = await this.engineClient.fetchLoad().catch(describeFailure);
    this.engineAnswers.push({ duringPause: load });
    engine?.resume();
    this.engineAnswers.push(await events);
  },
);

When(
  "a prefill engine exports the prompt {string} to a decode engine",
  async function (this: EngineWorld, prompt: string): Promise<void> {
    const prefill = await startEngine(this, {
      target: { role: EngineRole.Prefill, models },
    });
    const decode = await startEngine(this, {
      target: { role: EngineRole.Decode, models },
    });
    const request = buildRequest(prompt, 3);
    const refused = await readEvents(decode.generate(request, never));
    const kvHandle = await prefill.exportKv(request, never);
    const imported = { ...request, kvHandle };
    const accepted = await readEvents(decode.generate(imported, never));
    const again = { ...imported, attemptId: "second use" };
    const gone = await readEvents(decode.generate(again, never));
    this.engineAnswers.push({ refused, accepted, gone });
  },
);

When(
  "its load is read during a generation",
  async function (this: EngineWorld): Promise<void> {
    const stop = new AbortController();
    const stream = this.engineClient.generate(
      buildRequest("long", 100_000),
      stop.signal,
    );
    const events = readEvents(stream);
    await waitUntil(
      "the lagging report shows the generation",
      async () => (await this.engineClient.fetchLoad()).running === 1,
    );
    const report = await this.engineClient.fetchLoad();
    this.engineAnswers.push({ laggedEnough: report.ageMs >= 200 });
    stop.abort();
    this.engineAnswers.push((await events).at(-1));
    await this.engineClient.cancel("attempt of long");
  },
);

When(
  "a prompt of {int} tokens is completed twice",
  async function (this: EngineWorld, count: number): Promise<void> {
    const prompt = Array.from({ length: count }, (_, index) => `w${index}`)
      .join(" ");
    for (const attemptId of ["first", "second"]) {
      const request = buildRequest(prompt, 2, { attemptId });
      const stream = this.engineClient.generate(request, never);
      this.engineAnswers.push(await readEvents(stream));
    }
    const { cachedPrefixes } = await this.engineClient.fetchLoad();
    this.engineAnswers.push({ cachedPrefixes });
  },
);

/** Keeps what a state's reader relies on, without its random start id. */
function pickStable(answer: unknown): unknown {
  const { startId: _, sequence: __, ...rest } = answer as Record<
    string,
    unknown
  >;
  return rest;
}

Then(
  "the engine's answers and records match the snapshot",
  async function (this: EngineWorld): Promise<void> {
    await waitUntil(
      "orders have ended",
      () =>
        this.engineStandins.every((engine) =>
          engine.listOrders().every(({ progress }) => progress !== "running")
        ),
    );
    this.matchSnapshot({
      answers: this.engineAnswers,
      engines: this.engineStandins.map((engine) => ({
        role: engine.getTarget().role,
        conflicts: engine.listConflicts(),
        orders: engine.listOrders().map((order) =>
          `${order.fence} ${order.target.role} ${order.verdict} ${order.progress} cut ${order.cut}`
        ),
        generations: engine.listGenerations().map((generation) =>
          `${generation.attemptId} from ${generation.resumedFrom}: ${generation.end}`
        ),
      })),
    });
  },
);

After(async function (this: Partial<EngineWorld>): Promise<void> {
  await this.engineClients?.close();
  for (const engine of this.engineStandins ?? []) await engine.close();
});
