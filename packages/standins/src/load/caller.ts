/** Sends one request as a caller does and judges its answer. */
import { Outcome, outcomeHeader } from "@trefoildoor/core";
import { createParser } from "eventsource-parser";
import { Agent, type Dispatcher } from "undici";
import { z } from "zod";
import { buildOutput } from "../model_engine/index.ts";
import type { Balancer } from "./balancer.ts";

/** How a request ended, as its caller sees it. */
export enum CallEnd {
  /** The whole own answer, in order. */
  Done = "done",
  /** Refused, and said not to have run. */
  NotRun = "not_run",
  /** Refused, and said that it may have run. */
  Unknown = "unknown",
  /** The connection ended without a word. */
  Cut = "cut",
  /** An answer that is not the own one, not whole or not in order. */
  Wrong = "wrong",
}

/** Result of one request. */
export interface CallResult {
  readonly end: CallEnd;
  /** Reason code of a refusal, or what was wrong. */
  readonly detail: string;
  readonly status: number;
  readonly firstTokenMs?: number;
  /** Times between tokens, in ms. */
  readonly gapsMs: readonly number[];
  readonly totalMs: number;
}

/** One caller's connections to all entry instances. */
export interface Caller {
  readonly complete: (request: CompletionRequest) => Promise<CallResult>;
  readonly book: (request: BookingRequest) => Promise<CallResult>;
  readonly close: () => Promise<void>;
}

/** A completion to ask for. */
export interface CompletionRequest {
  readonly apiKey: string;
  readonly model: string;
  readonly prompt: string;
  readonly maxTokens: number;
}

/** A booking to ask for. */
export interface BookingRequest {
  readonly apiKey: string;
  readonly service: string;
  /** Idempotency key. */
  readonly key: string;
  readonly item: string;
}

const connectTimeoutMs = 2_000;
const unsentCodes = ["ECONNREFUSED", "UND_ERR_CONNECT_TIMEOUT"];

const chunkSchema = z.union([
  z.object({ choices: z.array(z.object({ text: z.string() })).min(1) }),
  z.object({
    error: z.object({ code: z.string(), outcome: z.enum(Outcome) }),
  }),
]);
const refusalSchema = z.object({
  error: z.object({ code: z.string().default("") }),
});

/** Creates a caller behind a balancer. */
export function createCaller(balancer: Balancer): Caller {
  const agent = new Agent({
    connect: { timeout: connectTimeoutMs },
    headersTimeout: 0,
    bodyTimeout: 0,
  });
  const send = async (
    call: Omit<Dispatcher.RequestOptions, "origin" | "method">,
  ): Promise<Dispatcher.ResponseData> => {
    let last: unknown = new Error("no entry instance is ready");
    for (const entry of balancer.rankEntries()) {
      try {
        const origin = `http://${entry}`;
        return await agent.request({ ...call, origin, method: "POST" });
      } catch (error) {
        last = error;
        // Only what was certainly not sent is tried at another instance.
        if (!unsentCodes.includes(getCode(error))) throw error;
      }
    }
    throw last;
  };
  return {
    complete: (request) => callCompletion(request, send),
    book: (request) => callBooking(request, send),
    close: () => agent.destroy(),
  };
}

type Send = (
  call: Omit<Dispatcher.RequestOptions, "origin" | "method">,
) => Promise<Dispatcher.ResponseData>;

async function callCompletion(
  request: CompletionRequest,
  send: Send,
): Promise<CallResult> {
  const startMs = performance.now();
  const reader = createAnswerReader(startMs);
  const finish = (end: CallEnd, detail: string, status = 0): CallResult => ({
    end,
    detail,
    status,
    firstTokenMs: reader.firstTokenMs,
    gapsMs: reader.gapsMs,
    totalMs: performance.now() - startMs,
  });
  try {
    const answer = await send({
      path: "/v1/completions",
      headers: {
        "content-type": "application/json",
        authorization: `Bearer ${request.apiKey}`,
      },
      body: JSON.stringify({
        model: request.model,
        prompt: request.prompt,
        max_tokens: request.maxTokens,
        stream: true,
      }),
    });
    if (answer.statusCode !== 200) {
      return finish(...await readRefusal(answer), answer.statusCode);
    }
    const decoder = new TextDecoder();
    for await (const chunk of answer.body) {
      reader.feed(decoder.decode(chunk as Uint8Array, { stream: true }));
    }
    return finish(...judgeAnswer(reader, request), answer.statusCode);
  } catch (error) {
    return finish(CallEnd.Cut, getCode(error));
  }
}

async function callBooking(
  request: BookingRequest,
  send: Send,
): Promise<CallResult> {
  const startMs = performance.now();
  const finish = (end: CallEnd, detail: string, status = 0): CallResult => ({
    end,
    detail,
    status,
    gapsMs: [],
    totalMs: performance.now() - startMs,
  });
  try {
    const answer = await send({
      path: `/services/${request.service}/bookings`,
      headers: {
        "content-type": "application/json",
        authorization: `Bearer ${request.apiKey}`,
        "idempotency-key": request.key,
      },
      body: JSON.stringify({ item: request.item }),
    });
    if (answer.statusCode >= 300) {
      return finish(...await readRefusal(answer), answer.statusCode);
    }
    const body = await answer.body.json() as { item?: unknown };
    const own = body.item === request.item;
    return finish(
      own ? CallEnd.Done : CallEnd.Wrong,
      own ? "" : "item of another booking",
      answer.statusCode,
    );
  } catch (error) {
    return finish(CallEnd.Cut, getCode(error));
  }
}

async function readRefusal(
  answer: Dispatcher.ResponseData,
): Promise<readonly [CallEnd, string]> {
  const outcome = answer.headers[outcomeHeader];
  const body = await answer.body.json().catch(() => ({}));
  const parsed = refusalSchema.safeParse(body);
  const code = parsed.success ? parsed.data.error.code : "";
  if (outcome === Outcome.NotRun) return [CallEnd.NotRun, code];
  if (outcome === Outcome.Unknown) return [CallEnd.Unknown, code];
  return [CallEnd.Wrong, `refused without an outcome: ${code}`];
}

/** Reads a streamed answer and notes the times of its tokens. */
interface AnswerReader {
  text: string;
  ended: boolean;
  refusal?: { readonly code: string; readonly outcome: Outcome };
  firstTokenMs?: number;
  readonly gapsMs: number[];
  readonly feed: (bytes: string) => void;
}

function createAnswerReader(startMs: number): AnswerReader {
  let lastMs = startMs;
  const noteToken = (): void => {
    const nowMs = performance.now();
    if (reader.firstTokenMs === undefined) {
      reader.firstTokenMs = nowMs - startMs;
    } else reader.gapsMs.push(nowMs - lastMs);
    lastMs = nowMs;
  };
  const parser = createParser({
    onEvent: ({ event, data }) => {
      // Named events are for instances alone; a bare pipe passes them on.
      if (event !== undefined) return;
      if (data === "[DONE]") {
        reader.ended = true;
        return;
      }
      const chunk = chunkSchema.parse(JSON.parse(data));
      if ("error" in chunk) {
        reader.refusal = chunk.error;
        return;
      }
      const text = chunk.choices[0]?.text ?? "";
      if (text === "") return;
      reader.text += text;
      noteToken();
    },
  });
  const reader: AnswerReader = {
    text: "",
    ended: false,
    gapsMs: [],
    feed: (bytes) => parser.feed(bytes),
  };
  return reader;
}

function judgeAnswer(
  reader: AnswerReader,
  request: CompletionRequest,
): readonly [CallEnd, string] {
  const expected = buildOutput(request.prompt, request.maxTokens);
  if (!expected.startsWith(reader.text)) {
    return [CallEnd.Wrong, "tokens of another answer or out of order"];
  }
  if (reader.refusal) {
    const { code, outcome } = reader.refusal;
    return [
      outcome === Outcome.NotRun ? CallEnd.NotRun : CallEnd.Unknown,
      code,
    ];
  }
  if (!reader.ended) return [CallEnd.Cut, "stream ended without its end mark"];
  return reader.text === expected
    ? [CallEnd.Done, ""]
    : [CallEnd.Wrong, "answer is not whole"];
}

function getCode(error: unknown): string {
  const { code, message } = error as { code?: unknown; message?: unknown };
  return String(code ?? message ?? error);
}
