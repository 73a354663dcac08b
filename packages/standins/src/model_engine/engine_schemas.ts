/** Bodies that the engine stand-in accepts. */
import { EngineRole, type GenerateRequest, Priority } from "@trefoildoor/core";
import { z } from "zod";

/** Body of a completion, OpenAI's fields with the extension `trefoildoor`. */
export const completionSchema = z.object({
  model: z.string().min(1),
  prompt: z.string(),
  max_tokens: z.int().min(1).max(1_000_000).default(16),
  stream: z.boolean().default(true),
  seed: z.int().optional(),
  trefoildoor: z.object({
    attempt_id: z.string().min(1),
    adapter: z.string().optional(),
    resume_tokens: z.array(z.string()).optional(),
    priority: z.enum(Priority).default(Priority.Normal),
    kv_handle: z.string().optional(),
  }),
});

/** Converts a body to the shared request type. */
export function convertCompletion(
  body: z.infer<typeof completionSchema>,
): GenerateRequest {
  const extension = body.trefoildoor;
  return {
    attemptId: extension.attempt_id,
    model: body.model,
    adapter: extension.adapter,
    prompt: body.prompt,
    resumeTokens: extension.resume_tokens,
    maxTokens: body.max_tokens,
    priority: extension.priority,
    seed: body.seed,
    kvHandle: extension.kv_handle,
  };
}

/** Body of an order. */
export const orderSchema = z.object({
  fence: z.int().min(0),
  fenceOnly: z.boolean(),
  target: z.object({
    role: z.enum(EngineRole),
    models: z.array(z.object({
      model: z.string(),
      version: z.string(),
      adapters: z.array(z.string()),
    })),
  }),
});
