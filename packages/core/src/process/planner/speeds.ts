/** Speeds of engines in each role, learnt from their reports. */
import { EngineRole, type PlannerEngine } from "../../types/index.ts";
import type { RoleSpeeds } from "./capacity.ts";

/** Learns speeds. */
export interface SpeedEstimator {
  readonly observe: (engines: readonly PlannerEngine[]) => void;
  readonly getSpeeds: () => RoleSpeeds;
}

const priorSpeeds: RoleSpeeds = {
  prefillOnly: 9_000,
  prefillMixed: 4_500,
  decodeOnly: 1_500,
  decodeShareMixed: 0.55,
};
const decay = 0.995;

/** Creates an estimator that follows the highest recent speeds of busy engines. */
export function createSpeedEstimator(): SpeedEstimator {
  let speeds = priorSpeeds;
  const seen = { prefillOnly: 0, prefillMixed: 0, decodeOnly: 0 };
  return {
    observe(engines): void {
      for (const key of Object.keys(seen) as (keyof typeof seen)[]) {
        seen[key] *= decay;
      }
      for (const engine of engines) {
        const report = engine.report;
        if (!report || report.changing) continue;
        const prefill = report.role === EngineRole.Prefill
          ? "prefillOnly"
          : "prefillMixed";
        if (
          report.role !== EngineRole.Decode && report.queuedPromptTokens > 0
        ) {
          seen[prefill] = Math.max(
            seen[prefill],
            report.prefillTokensPerSecond,
          );
        }
        if (report.role === EngineRole.Decode) {
          seen.decodeOnly = Math.max(
            seen.decodeOnly,
            report.decodeTokensPerSecond,
          );
        }
      }
      speeds = {
        ...priorSpeeds,
        prefillOnly: seen.prefillOnly || priorSpeeds.prefillOnly,
        prefillMixed: seen.prefillMixed || priorSpeeds.prefillMixed,
        decodeOnly: seen.decodeOnly || priorSpeeds.decodeOnly,
      };
    },
    getSpeeds: () => speeds,
  };
}
