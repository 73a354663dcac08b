/** Speeds of engines in each role, learnt from reports of engines with enough to do. */
import {
  EngineRole,
  type LoadReport,
  type PlannerEngine,
} from "../../types/index.ts";
import type { RoleSpeeds } from "./capacity.ts";

/** Learns speeds. */
export interface SpeedEstimator {
  readonly observe: (engines: readonly PlannerEngine[]) => void;
  readonly getSpeeds: () => RoleSpeeds;
}

const priorSpeeds: RoleSpeeds = {
  prefillOnly: 9_000,
  prefillMixed: 3_500,
  decodeOnly: 1_500,
  decodeShareMixed: 0.65,
};
const learningRate = 0.05;
/** Prompt tokens that keep an engine's prefill busy until the next report. */
const busyPromptTokens = 1_000;
/** Part of its memory at which an engine is full. */
const fullMemory = 0.85;

/** Creates an estimator; roles that were not seen busy keep their prior speeds. */
export function createSpeedEstimator(): SpeedEstimator {
  let speeds = priorSpeeds;

  function learn(
    key: Exclude<keyof RoleSpeeds, "decodeShareMixed">,
    speed: number,
  ): void {
    if (speed <= 0) return;
    const known = speeds[key];
    speeds = { ...speeds, [key]: known + (speed - known) * learningRate };
  }

  function observeOne(report: LoadReport): void {
    const computes = report.queuedPromptTokens > busyPromptTokens;
    if (computes && report.role === EngineRole.Prefill) {
      learn("prefillOnly", report.prefillTokensPerSecond);
    }
    if (computes && report.role === EngineRole.Mixed && report.running > 1) {
      learn("prefillMixed", report.prefillTokensPerSecond);
    }
    if (report.role === EngineRole.Prefill || !isFull(report)) return;
    // A mixed engine that computes prompts generates at the lower share.
    const share = computes ? priorSpeeds.decodeShareMixed : 1;
    learn("decodeOnly", report.decodeTokensPerSecond / share);
  }

  return {
    observe(engines): void {
      for (const { report } of engines) {
        if (report && !report.changing) observeOne(report);
      }
    },
    getSpeeds: () => speeds,
  };
}

function isFull(report: LoadReport): boolean {
  return report.queued > 0 ||
    report.kvBlocksUsed > report.kvBlocksTotal * fullMemory;
}
