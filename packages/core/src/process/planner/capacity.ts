/** How many requests per second a set of roles can serve of a given mix. */
import { EngineRole } from "../../types/index.ts";

/** Engines per role. */
export type RoleCounts = Readonly<Record<EngineRole, number>>;

/** Speeds of one engine in each role, in tokens per second. */
export interface RoleSpeeds {
  /** Prompt tokens on an engine that only computes prompts. */
  readonly prefillOnly: number;
  /** Prompt tokens on an engine that generates at the same time. */
  readonly prefillMixed: number;
  /** Generated tokens on an engine that computes no prompts. */
  readonly decodeOnly: number;
  /** Share of its generating speed that an engine keeps while it computes prompts at full speed. */
  readonly decodeShareMixed: number;
}

/** Engines by role with their speeds. */
export interface Fleet {
  readonly counts: RoleCounts;
  readonly speeds: RoleSpeeds;
}

/** Offered work per second. */
export interface Mix {
  readonly requests: number;
  readonly promptTokens: number;
  readonly outputTokens: number;
}

/** Capacity over demand at which no work is lost to queues. */
const headroom = 1.1;

/** Share of the mix that the engines can serve; above 1 where there is room. */
export function computeLoadFactor(
  mix: Mix,
  fleet: Fleet,
): number {
  const { counts, speeds } = fleet;
  const mixed = counts[EngineRole.Mixed];
  const prefillOnly = counts[EngineRole.Prefill] * speeds.prefillOnly;
  const decodeOnly = counts[EngineRole.Decode] * speeds.decodeOnly;
  const prefillAll = prefillOnly + mixed * speeds.prefillMixed;
  const decodeAll = decodeOnly + mixed * speeds.decodeOnly;
  // Generating speed that a mixed engine gives up per prompt token.
  const exchange = speeds.decodeOnly * (1 - speeds.decodeShareMixed) /
    speeds.prefillMixed;
  const byPrefill = computeRatio(prefillAll, mix.promptTokens);
  const byDecode = computeRatio(decodeAll, mix.outputTokens);
  const byBoth = computeRatio(
    decodeAll + exchange * prefillOnly,
    mix.outputTokens + exchange * mix.promptTokens,
  );
  return Math.min(byPrefill, byDecode, byBoth);
}

/** Requests per second that the engines serve of the mix. */
export function computeServed(
  mix: Mix,
  fleet: Fleet,
): number {
  const factor = computeLoadFactor(mix, fleet);
  return mix.requests * Math.min(factor / headroom, 1);
}

function computeRatio(capacity: number, demand: number): number {
  return demand > 0 ? capacity / demand : Infinity;
}
