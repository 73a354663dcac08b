/** Bodies of completion requests in the format of the OpenAI API. */
import { randomUUID } from "node:crypto";
import {
  type BundleCaller,
  type CompletionCall,
  computePrefixDigests,
  digestText,
  RefusalReason,
  splitTokens,
} from "@trefoildoor/core";
import type { Refusal } from "@trefoildoor/core";
import { type Either, Left, Right } from "purify-ts";
import { z } from "zod";
import { refuseNotRun } from "./refusals.ts";

const defaultMaxTokens = 256;
const maxTokensLimit = 131_072;
const maxPromptCharacters = 4 * 1_048_576;
const maxMessages = 4_096;

const commonSchema = z.looseObject({
  /** Model name, optionally followed by a colon and the name of an adapter. */
  model: z.string().min(1).max(128),
  max_tokens: z.int().min(1).max(maxTokensLimit).default(defaultMaxTokens),
  stream: z.boolean().default(false),
  seed: z.int().optional(),
});

const textSchema = commonSchema.extend({
  prompt: z.string().min(1).max(maxPromptCharacters),
});

const chatSchema = commonSchema.extend({
  messages: z.array(z.looseObject({
    role: z.string().max(32),
    content: z.string().max(maxPromptCharacters),
  })).min(1).max(maxMessages),
}).transform((body) => ({ ...body, prompt: formatMessages(body.messages) }));

/** Interface of a request: text completions or chat completions. */
export enum CompletionKind {
  Text = "text",
  Chat = "chat",
}

/** A checked body of a completion request, with defaults filled in. */
export interface CompletionBody {
  readonly model: string;
  readonly adapter?: string;
  readonly prompt: string;
  readonly maxTokens: number;
  readonly stream: boolean;
  readonly seed?: number;
}

/** Checks the body of a completion request; the refusal lists at most 10 faults. */
export function parseCompletionBody(
  body: unknown,
  kind: CompletionKind,
): Either<Refusal, CompletionBody> {
  const schema = kind === CompletionKind.Text ? textSchema : chatSchema;
  const parsed = schema.safeParse(body);
  if (!parsed.success) {
    const faults = parsed.error.issues.map((issue) =>
      `${issue.path.join(".") || "body"}: ${issue.message}`
    );
    return Left(
      refuseNotRun(RefusalReason.Malformed, faults.slice(0, 10).join("; ")),
    );
  }
  const { data } = parsed;
  const [model = "", adapter] = data.model.split(":", 2);
  return Right({
    model,
    adapter,
    prompt: data.prompt,
    maxTokens: data.max_tokens,
    stream: data.stream,
    seed: data.seed,
  });
}

/** Joins the messages of a chat into one prompt, one `role: content` line each. */
function formatMessages(
  messages: readonly { readonly role: string; readonly content: string }[],
): string {
  return messages.map((message) => `${message.role}: ${message.content}`).join(
    "\n",
  );
}

/** Builds the call of a checked body under a new request id, with the caller's priority and deadline. */
export function buildCompletionCall(
  body: CompletionBody,
  caller: BundleCaller,
): CompletionCall {
  return {
    requestId: randomUUID(),
    caller,
    model: body.model,
    adapter: body.adapter,
    prompt: body.prompt,
    promptTokens: splitTokens(body.prompt).length,
    prefixes: computePrefixDigests(body),
    maxTokens: body.maxTokens,
    priority: caller.priority,
    deadlineMs: caller.deadline_ms,
    digest: digestText(JSON.stringify([body.model, body.adapter, body.prompt])),
    seed: body.seed,
  };
}
