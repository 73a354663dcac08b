/** Bodies of the engines' HTTP interface. */
import { z } from "zod";
import {
  EngineRole,
  FinishReason,
  type GenerateRequest,
  OrderProgress,
} from "../../types/endpoints.ts";

/** Longest load report of an engine, in bytes; most of it are digests of cached prefixes. */
export const maxLoadBytes = 4 * 1_048_576;

/** Schema of a load report. */
export const loadReportSchema = z.object({
  sequence: z.int().min(0),
  startId: z.string(),
  ageMs: z.number().min(0),
  role: z.enum(EngineRole),
  changing: z.boolean(),
  running: z.int().min(0),
  queued: z.int().min(0),
  queuedPromptTokens: z.number().min(0),
  kvBlocksUsed: z.number().min(0),
  kvBlocksTotal: z.number().min(0),
  prefillTokensPerSecond: z.number().min(0),
  decodeTokensPerSecond: z.number().min(0),
  cachedPrefixes: z.array(z.string()),
  requestsPerSecond: z.number().min(0).optional(),
  softwareVersion: z.string().optional(),
});

/** Schema of an engine's state. */
export const engineStateSchema = z.object({
  startId: z.string(),
  target: z.object({
    role: z.enum(EngineRole),
    models: z.array(z.object({
      model: z.string(),
      version: z.string(),
      adapters: z.array(z.string()),
    })),
  }),
  fence: z.int().min(0),
  order: z.int().min(0),
  progress: z.enum(OrderProgress),
  running: z.int().min(0),
  queued: z.int().min(0),
  sequence: z.int().min(0),
});

/** Schema of one event of a completion: a numbered token or the end. */
export const completionChunkSchema = z.object({
  choices: z.array(z.object({
    text: z.string(),
    finish_reason: z.enum(FinishReason).nullable(),
  })).min(1),
  token_index: z.int().min(0).optional(),
  usage: z.object({ prompt_tokens: z.int().min(0) }).optional(),
});

/** Schema of the answer to an export of KV cache. */
export const kvHandleSchema = z.object({ handle: z.string().min(1) });

/** Encodes a request as an OpenAI-style body with the extension `trefoildoor`. */
export function encodeCompletion(request: GenerateRequest): string {
  return JSON.stringify({
    model: request.model,
    prompt: request.prompt,
    max_tokens: request.maxTokens,
    stream: true,
    seed: request.seed,
    trefoildoor: {
      attempt_id: request.attemptId,
      adapter: request.adapter,
      resume_tokens: request.resumeTokens,
      priority: request.priority,
      kv_handle: request.kvHandle,
    },
  });
}
