/** True speeds of the fake engine, for the policies that may know them. */
import {
  EngineRole,
  kvBlockTokens,
  type Mix,
  type RoleCounts,
  type RoleSpeeds,
} from "@trefoildoor/core";
import type { EngineFigures } from "../bench/fake_engine.ts";
import type { RequestKind } from "../bench/load.ts";

const msPerSecond = 1_000;

/** Mean work per second of kinds that come with the given weights. */
export function computeTrueMix(
  kinds: readonly RequestKind[],
  shape: {
    readonly requestsPerSecond: number;
    readonly weights: readonly number[];
  },
): Mix {
  const total = shape.weights.reduce((sum, weight) => sum + weight, 0);
  let promptTokens = 0;
  let outputTokens = 0;
  for (const [index, kind] of kinds.entries()) {
    const share = (shape.weights[index] ?? 0) / total;
    promptTokens += share * computeMean(kind.promptTokens);
    outputTokens += share * computeMean(kind.outputTokens);
  }
  return {
    requests: shape.requestsPerSecond,
    promptTokens: shape.requestsPerSecond * promptTokens,
    outputTokens: shape.requestsPerSecond * outputTokens,
  };
}

/** Speeds of a full engine in each role under a mix. */
export function computeTrueSpeeds(
  figures: EngineFigures,
  mix: Mix,
): RoleSpeeds {
  const tokens = (mix.promptTokens + mix.outputTokens / 2) / mix.requests;
  const byMemory = figures.kvBlocks / Math.ceil(tokens / kvBlockTokens);
  const batch = Math.min(figures.maxBatch, byMemory);
  const decodeMs = figures.stepMs + batch * figures.msPerSequence;
  const mixedMs = decodeMs +
    figures.mixedChunkTokens * figures.msPerPromptToken;
  const prefillMs = figures.stepMs +
    figures.prefillChunkTokens * figures.msPerPromptToken;
  return {
    prefillOnly: figures.prefillChunkTokens * msPerSecond / prefillMs,
    prefillMixed: figures.mixedChunkTokens * msPerSecond / mixedMs,
    decodeOnly: batch * msPerSecond / decodeMs,
    decodeShareMixed: decodeMs / mixedMs,
  };
}

/** Counts engines per role. */
export function countRoles(roles: readonly EngineRole[]): RoleCounts {
  const counts = {
    [EngineRole.Prefill]: 0,
    [EngineRole.Decode]: 0,
    [EngineRole.Mixed]: 0,
  };
  for (const role of roles) counts[role] += 1;
  return counts;
}

function computeMean([low, high]: readonly [number, number]): number {
  return (low + high) / 2;
}
