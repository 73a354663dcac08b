/** Steps of `load.feature`. */
import { strict as assert } from "node:assert";
import { createServer, type Server, type ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import { After, Given, Then, When } from "@cucumber/cucumber";
import { digestText, Outcome, outcomeHeader } from "@trefoildoor/core";
import { waitUntil } from "@trefoildoor/testing";
import {
  buildOutput,
  type EngineStandin,
  startEngineStandin,
} from "../model_engine/index.ts";
import { type Balancer, createBalancer } from "./balancer.ts";
import { type CallEnd, createCaller } from "./caller.ts";
import { type Pipe, startPipe } from "./pipe.ts";
import { generateWorkload, MixName, type PlannedRequest } from "./workload.ts";

/** State of one scenario. */
interface LoadWorld {
  entryServers?: Server[];
  entryAddresses: string[];
  loadEngine?: EngineStandin;
  loadPipe?: Pipe;
  judged: string[];
  matchSnapshot: (received: unknown) => void;
}

const maxTokens = 3;

function listRequests(seed: number): readonly PlannedRequest[] {
  return [...generateWorkload({
    seed,
    requestsPerSecond: 20,
    durationMs: 2_000,
    mix: MixName.Shifting,
    bookingShare: 0.2,
    callers: 3,
  })];
}

function sendText(response: ServerResponse, tokens: readonly string[]): void {
  for (const text of tokens) {
    response.write(`data: ${JSON.stringify({ choices: [{ text }] })}\n\n`);
  }
}

function answerByPrompt(prompt: string, response: ServerResponse): void {
  const own = buildOutput(prompt, maxTokens).match(/\S+ /g) ?? [];
  if (prompt === "silent") {
    response.destroy();
    return;
  }
  if (prompt === "refused") {
    response.writeHead(429, { [outcomeHeader]: Outcome.NotRun });
    response.end(JSON.stringify({ error: { code: "overloaded" } }));
    return;
  }
  response.writeHead(200, { "content-type": "text/event-stream" });
  if (prompt === "foreign") sendText(response, ["00000000-0 "]);
  else if (prompt === "swapped") sendText(response, own.toReversed());
  else sendText(response, prompt === "whole" ? own : own.slice(0, 2));
  if (prompt === "late") {
    const error = { code: "deadline_exceeded", outcome: Outcome.Unknown };
    response.end(`data: ${JSON.stringify({ error })}\n\n`);
  } else if (prompt === "cut") response.end();
  else response.end("data: [DONE]\n\n");
}

Given(
  "an entry server that answers by prompt",
  async function (this: LoadWorld): Promise<void> {
    const server = createServer(async (request, response) => {
      if (request.url === "/readyz") {
        response.end("{}");
        return;
      }
      let body = "";
      for await (const chunk of request) body += String(chunk);
      answerByPrompt(JSON.parse(body).prompt, response);
    });
    await new Promise<void>((resolve) =>
      server.listen(0, "127.0.0.1", resolve)
    );
    const { port } = server.address() as AddressInfo;
    this.entryServers = [...this.entryServers ?? [], server];
    this.entryAddresses = [
      ...this.entryAddresses ?? [],
      `127.0.0.1:${port}`,
    ];
  },
);

Given(
  "an entry server that has stopped listening",
  async function (this: LoadWorld): Promise<void> {
    const server = createServer();
    await new Promise<void>((resolve) =>
      server.listen(0, "127.0.0.1", resolve)
    );
    const { port } = server.address() as AddressInfo;
    await new Promise((resolve) => server.close(resolve));
    this.entryAddresses = [`127.0.0.1:${port}`, ...this.entryAddresses];
  },
);

Given(
  "a pipe in front of an engine stand-in",
  async function (this: LoadWorld): Promise<void> {
    this.loadEngine = await startEngineStandin({ decodeStepMs: 1 });
    this.loadPipe = await startPipe(this.loadEngine.address);
    this.entryAddresses = [this.loadPipe.address];
  },
);

When(
  "the prompts {string} are sent by the load tool",
  async function (this: LoadWorld, prompts: string): Promise<void> {
    const polled = createBalancer({
      listEntries: () => this.entryAddresses,
      random: () => 0,
    });
    const stop = new AbortController();
    void polled.keep(stop.signal);
    await waitUntil("an entry is ready", () => polled.rankEntries().length > 0);
    stop.abort();
    // A stale list still names the instance that refuses connections.
    const stale: Balancer = {
      ...polled,
      rankEntries: () => this.entryAddresses,
    };
    const caller = createCaller(stale);
    this.judged = [`ready ${polled.rankEntries().length}`];
    for (const prompt of prompts.split(", ")) {
      const { end, detail } = await caller.complete({
        apiKey: "key",
        model: "draft",
        prompt,
        maxTokens,
      });
      this.judged.push(`${prompt}: ${end satisfies CallEnd} ${detail}`.trim());
    }
    await caller.close();
  },
);

Then(
  "the judged answers match the snapshot",
  function (this: LoadWorld): void {
    this.matchSnapshot(this.judged);
  },
);

Then(
  "two workloads of seed {int} are equal and one of seed {int} differs",
  function (this: LoadWorld, seed: number, other: number): void {
    assert.deepEqual(listRequests(seed), listRequests(seed));
    assert.notDeepEqual(listRequests(seed), listRequests(other));
  },
);

Then(
  "the first requests of seed {int} match the snapshot",
  function (this: LoadWorld, seed: number): void {
    const requests = listRequests(seed).slice(0, 5);
    this.matchSnapshot(requests.map((request) => ({
      ...request,
      atMs: Math.round(request.atMs),
      prompt: digestText(request.prompt).slice(0, 8),
    })));
  },
);

After(async function (this: Partial<LoadWorld>): Promise<void> {
  for (const server of this.entryServers ?? []) {
    server.closeAllConnections();
    server.close();
  }
  await this.loadPipe?.close();
  await this.loadEngine?.close();
});
