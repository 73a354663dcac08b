/** Estimates how fast the prefill engines of a pool compute prompts, from the durations of exports. */
import type { ServiceName } from "../../types/index.ts";

/** Estimated prefill speed of each pool, as a moving average. */
export interface PrefillSpeeds {
  /** Prompt tokens that one prefill engine of the pool computes per ms. */
  readonly getTokensPerMs: (service: ServiceName) => number;
  /** Updates the estimate after an export. `tokens` counts its own prompt tokens and those queued ahead of it. */
  readonly recordExport: (
    service: ServiceName,
    read: { readonly tokens: number; readonly tookMs: number },
  ) => void;
}

/** Estimate before the first export, in tokens per ms: a 70B model on eight accelerators. */
const initialTokensPerMs = 50;
/** Weight of a new sample in the moving average. */
const smoothingFactor = 0.05;
/** Smaller exports are ignored, as network time dominates their duration. */
const minSampleTokens = 2_000;
/** Part of an export's duration that is not prompt computation, in ms: network, setup and one engine step. */
const fixedExportMs = 25;
/** A sample is clipped to the current estimate times or divided by this factor. */
const maxChangeFactor = 2;

/** Creates the estimates of one instance; they are not shared with peers. */
export function createPrefillSpeeds(): PrefillSpeeds {
  const speeds = new Map<ServiceName, number>();
  const getTokensPerMs = (service: ServiceName): number =>
    speeds.get(service) ?? initialTokensPerMs;
  return {
    getTokensPerMs,
    recordExport(service, { tokens, tookMs }): void {
      if (tokens < minSampleTokens || tookMs <= fixedExportMs) return;
      const known = getTokensPerMs(service);
      const sample = tokens / (tookMs - fixedExportMs);
      const clipped = Math.min(
        Math.max(sample, known / maxChangeFactor),
        known * maxChangeFactor,
      );
      speeds.set(service, known + (clipped - known) * smoothingFactor);
    },
  };
}
