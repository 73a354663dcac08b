/** Steps of `hostile_answers.feature`. */
import assert from "node:assert/strict";
import { Then, When } from "@cucumber/cucumber";
import { getFuzzOptions } from "@trefoildoor/testing";
import fc from "fast-check";
import { z } from "zod";
import {
  type GenerateEvent,
  RemoteError,
  RemoteFailure,
} from "../types/index.ts";
import { streamEvents } from "./endpoint/token_events.ts";
import { readJson } from "./http/http_errors.ts";
import type { HttpAnswer } from "./http/index.ts";

/** State of one scenario. */
interface AnswerWorld {
  readBytes: number;
  error: unknown;
}

/** Long enough for many runs, so that only a hang exceeds it. */
const fuzzTimeoutMs = 600_000;
const call = { method: "GET", path: "/" };
const chunkBytes = 64 * 1024;
/** Bytes that a reader without a limit would read. */
const endlessBytes = 200 * 1024 * 1024;

Then(
  "random bytes, splits and faults of a stream give tokens in order or a remote error",
  { timeout: fuzzTimeoutMs },
  async function (): Promise<void> {
    const text = buildStream(6);
    const edits = fc.array(
      fc.tuple(fc.nat({ max: text.length }), fc.string({ maxLength: 8 })),
      { maxLength: 3 },
    );
    const splits = fc.array(fc.nat({ max: text.length }), { maxLength: 8 });
    await fc.assert(
      fc.asyncProperty(edits, splits, async (faults, offsets) => {
        const broken = faults.reduce(
          (part, [at, piece]) => part.slice(0, at) + piece + part.slice(at + 3),
          text,
        );
        const { events, error } = await readStream(splitText(broken, offsets));
        assert.ok(error === undefined || error instanceof RemoteError);
        if (faults.length === 0) assert.equal(events.length, 7);
      }),
      getFuzzOptions(),
    );
  },
);

When(
  "an endpoint sends bytes without end and without an event",
  { timeout: fuzzTimeoutMs },
  async function (this: AnswerWorld): Promise<void> {
    const { error } = await readStream(sendForever(this, "data: x\n"));
    this.error = error;
  },
);

When(
  "an endpoint answers a read with bytes without end",
  { timeout: fuzzTimeoutMs },
  async function (this: AnswerWorld): Promise<void> {
    const answer = buildAnswer(sendForever(this, "[1,"));
    this.error = await readJson(answer, { call, schema: z.unknown() }).catch(
      (error: unknown) => error,
    );
  },
);

Then(
  /^the (?:stream|answer) ends as malformed within (\d+) MiB$/,
  function (this: AnswerWorld, mebibytes: string): void {
    assert.ok(this.error instanceof RemoteError);
    assert.equal(this.error.failure, RemoteFailure.Malformed);
    assert.ok(this.readBytes <= Number(mebibytes) * 1024 * 1024);
  },
);

function buildStream(tokens: number): string {
  const lines = Array.from({ length: tokens }, (_, index) =>
    JSON.stringify({
      choices: [{ text: `t${index} `, finish_reason: null }],
      token_index: index,
    }));
  const end = JSON.stringify({
    choices: [{ text: "", finish_reason: "stop" }],
    usage: { prompt_tokens: 5 },
  });
  return [...lines, end, "[DONE]"].map((line) => `data: ${line}\n\n`).join("");
}

function* splitText(
  text: string,
  offsets: readonly number[],
): Generator<Uint8Array> {
  const bytes = Buffer.from(text);
  let from = 0;
  for (const offset of [...offsets].sort((left, right) => left - right)) {
    yield bytes.subarray(from, offset);
    from = Math.max(from, offset);
  }
  yield bytes.subarray(from);
}

function* sendForever(
  world: AnswerWorld,
  piece: string,
): Generator<Uint8Array> {
  world.readBytes = 0;
  const chunk = Buffer.from(piece.repeat(chunkBytes / piece.length));
  while (world.readBytes < endlessBytes) {
    world.readBytes += chunk.length;
    yield chunk;
  }
}

async function readStream(
  chunks: Iterable<Uint8Array>,
): Promise<{ readonly events: GenerateEvent[]; readonly error?: unknown }> {
  const events: GenerateEvent[] = [];
  const options = { call, onLoad: () => undefined, onBytes: () => undefined };
  try {
    for await (const event of streamEvents(buildAnswer(chunks), options)) {
      events.push(event);
    }
    return { events };
  } catch (error) {
    return { events, error };
  }
}

function buildAnswer(chunks: Iterable<Uint8Array>): HttpAnswer {
  async function* stream(): AsyncGenerator<Uint8Array> {
    yield* chunks;
  }
  return {
    status: 200,
    headers: {},
    body: Object.assign(stream(), { destroy: () => undefined }) as never,
  };
}
