/** Answers to completion requests in the format of the OpenAI API. */
import type { CompletionCall } from "@trefoildoor/core";
import { CompletionKind } from "./completion_body.ts";

const millisecondsPerSecond = 1_000;

/** Complete result of a completion. */
export interface CompletionResult {
  readonly text: string;
  readonly finishReason: string;
  readonly promptTokens: number;
  readonly outputTokens: number;
}

/** Builds the body of an answer that is not streamed. */
export function buildCompletionAnswer(
  call: CompletionCall,
  kind: CompletionKind,
  options: { readonly result: CompletionResult },
): Record<string, unknown> {
  const { result } = options;
  const choice = kind === CompletionKind.Chat
    ? { message: { role: "assistant", content: result.text } }
    : { text: result.text };
  return {
    ...buildEnvelope(
      call,
      kind === CompletionKind.Chat ? "chat.completion" : "text_completion",
    ),
    choices: [{ index: 0, ...choice, finish_reason: result.finishReason }],
    usage: {
      prompt_tokens: result.promptTokens,
      completion_tokens: result.outputTokens,
      total_tokens: result.promptTokens + result.outputTokens,
    },
  };
}

/** Builds one event of a streamed answer; a finish reason marks the last one. */
export function buildCompletionChunk(
  call: CompletionCall,
  kind: CompletionKind,
  options: { readonly text: string; readonly finishReason?: string },
): Record<string, unknown> {
  const choice = kind === CompletionKind.Chat
    ? { delta: { content: options.text } }
    : { text: options.text };
  return {
    ...buildEnvelope(
      call,
      kind === CompletionKind.Chat
        ? "chat.completion.chunk"
        : "text_completion",
    ),
    choices: [{
      index: 0,
      ...choice,
      finish_reason: options.finishReason ?? null,
    }],
  };
}

function buildEnvelope(
  call: CompletionCall,
  object: string,
): Record<string, unknown> {
  return {
    id: `cmpl-${call.requestId}`,
    object,
    created: Math.floor(Date.now() / millisecondsPerSecond),
    model: call.model,
  };
}
