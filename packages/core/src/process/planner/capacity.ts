/** Requests per second that engines in given roles serve under a workload mix. */
import { EngineRole } from "../../types/index.ts";

/** Engines per role. */
export type RoleCounts = Readonly<Record<EngineRole, number>>;

/** Throughput of one engine in each role, in tokens per second. */
export interface RoleSpeeds {
  /** Prompt tokens on an engine that only runs prefill. */
  readonly prefillOnly: number;
  /** Prompt tokens on an engine that runs decode at the same time. */
  readonly prefillMixed: number;
  /** Generated tokens on an engine that runs no prefill. */
  readonly decodeOnly: number;
  /** Share of its decode throughput that an engine retains under full prefill load. */
  readonly decodeShareMixed: number;
}

/** Engines by role with their speeds. */
export interface Fleet {
  readonly counts: RoleCounts;
  readonly speeds: RoleSpeeds;
}

/** Offered work per second. */
export interface WorkloadMix {
  readonly requests: number;
  readonly promptTokens: number;
  readonly outputTokens: number;
}

/** Ratio of capacity to demand from which queues lose no work. */
const headroom = 1.1;

/** Ratio of capacity to demand; above 1 with spare capacity. */
export function computeLoadFactor(
  mix: WorkloadMix,
  fleet: Fleet,
): number {
  const { counts, speeds } = fleet;
  const mixed = counts[EngineRole.Mixed];
  const prefillOnly = counts[EngineRole.Prefill] * speeds.prefillOnly;
  const decodeOnly = counts[EngineRole.Decode] * speeds.decodeOnly;
  const prefillAll = prefillOnly + mixed * speeds.prefillMixed;
  const decodeAll = decodeOnly + mixed * speeds.decodeOnly;
  // Generated tokens that a mixed engine forgoes per prompt token.
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
export function computeServedRate(
  mix: WorkloadMix,
  fleet: Fleet,
): number {
  const factor = computeLoadFactor(mix, fleet);
  return mix.requests * Math.min(factor / headroom, 1);
}

function computeRatio(capacity: number, demand: number): number {
  return demand > 0 ? capacity / demand : Infinity;
}
