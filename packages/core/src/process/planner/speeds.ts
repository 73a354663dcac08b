/** Estimates the throughput of engines in each role from load reports of busy engines. */
import {
  EngineRole,
  type LoadReport,
  type PlannerEngine,
} from "../../types/index.ts";
import type { RoleSpeeds } from "./capacity.ts";

/** Estimates speeds from load reports. */
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
const smoothingFactor = 0.05;
/** Queued prompt tokens above which prefill stays busy until the next report. */
const busyPromptTokens = 1_000;
/** Share of its KV cache blocks above which an engine counts as full. */
const fullKvShare = 0.85;

/** Creates an estimator; roles without reports of busy engines retain their prior speeds. */
export function createSpeedEstimator(): SpeedEstimator {
  let speeds = priorSpeeds;

  function updateSpeed(
    key: Exclude<keyof RoleSpeeds, "decodeShareMixed">,
    speed: number,
  ): void {
    if (speed <= 0) return;
    const estimated = speeds[key];
    speeds = {
      ...speeds,
      [key]: estimated + (speed - estimated) * smoothingFactor,
    };
  }

  function observeReport(report: LoadReport): void {
    const isPrefillBusy = report.queuedPromptTokens > busyPromptTokens;
    if (isPrefillBusy && report.role === EngineRole.Prefill) {
      updateSpeed("prefillOnly", report.prefillTokensPerSecond);
    }
    if (
      isPrefillBusy && report.role === EngineRole.Mixed && report.running > 1
    ) {
      updateSpeed("prefillMixed", report.prefillTokensPerSecond);
    }
    if (report.role === EngineRole.Prefill || !isFull(report)) return;
    // An engine that runs prefill as well decodes at the reduced share.
    const share = isPrefillBusy ? priorSpeeds.decodeShareMixed : 1;
    updateSpeed("decodeOnly", report.decodeTokensPerSecond / share);
  }

  return {
    observe(engines): void {
      for (const { report } of engines) {
        if (report && !report.changing) observeReport(report);
      }
    },
    getSpeeds: () => speeds,
  };
}

function isFull(report: LoadReport): boolean {
  return report.queued > 0 ||
    report.kvBlocksUsed > report.kvBlocksTotal * fullKvShare;
}
