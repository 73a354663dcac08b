/** Which requests the engine stand-in takes, and why it refuses the others. */
import {
  Effect,
  EngineRole,
  type GenerateRequest,
  type ModelVersion,
} from "@trefoildoor/core";
import { StandinError } from "../shared/index.ts";
import { type Batch, countBlocksNeeded } from "./batch.ts";
import type { EngineSettings } from "./engine_options.ts";
import type { OrderState } from "./engine_orders.ts";

/** What a decision about a request depends on. */
export interface AdmissionState {
  readonly settings: EngineSettings;
  readonly orders: OrderState;
  readonly batch: Batch;
  readonly leaving: boolean;
}

/** Work that a request asks for. */
export enum WorkKind {
  Generate = "generate",
  Export = "export",
}

/** Returns the loaded model for a request, or throws the refusal. */
export function admitRequest(
  request: GenerateRequest,
  kind: WorkKind,
  options: AdmissionState,
): ModelVersion {
  const { settings, orders, batch } = options;
  if (options.leaving) {
    throw buildRefusal(503, { code: "leaving", message: "engine is leaving" });
  }
  if (orders.changing) {
    throw buildRefusal(409, {
      code: "busy",
      message: "engine changes its role",
    });
  }
  checkRole(request, kind, { role: orders.target.role });
  const model = orders.target.models.find((loaded) =>
    loaded.model === request.model &&
    (!request.adapter || loaded.adapters.includes(request.adapter))
  );
  if (!model) {
    throw buildRefusal(404, {
      code: "unknown_model",
      message: "model is not loaded",
    });
  }
  if (countBlocksNeeded(request) > settings.kvBlocks) {
    throw buildRefusal(413, {
      code: "too_large",
      message: "request exceeds the KV cache",
    });
  }
  if (batch.countQueued() >= settings.maxQueued) {
    throw buildRefusal(429, { code: "busy", message: "queue is full" });
  }
  if (batch.find(request.attemptId)) {
    throw new StandinError(409, "repeated", {
      message: "attempt has been received before",
      effect: Effect.Unknown,
    });
  }
  return model;
}

function checkRole(
  request: GenerateRequest,
  kind: WorkKind,
  { role }: { readonly role: EngineRole },
): void {
  if (kind === WorkKind.Export && role === EngineRole.Decode) {
    throw buildRefusal(409, {
      code: "busy",
      message: "engine computes no prompts",
    });
  }
  if (kind === WorkKind.Export) return;
  if (role === EngineRole.Prefill) {
    throw buildRefusal(409, {
      code: "busy",
      message: "engine generates no tokens",
    });
  }
  if (role === EngineRole.Decode && !request.kvHandle) {
    throw buildRefusal(409, {
      code: "busy",
      message: "engine needs imported KV cache",
    });
  }
}

function buildRefusal(
  status: number,
  reason: { readonly code: string; readonly message: string },
): StandinError {
  return new StandinError(status, reason.code, {
    message: reason.message,
    effect: Effect.None,
  });
}
