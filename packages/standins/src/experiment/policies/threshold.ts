/**
 * The threshold rule: engines that compute prompts follow the prompts' share
 * of the recent work, with a dead band and a pause between changes.
 */
import {
  EngineRole,
  type PlannerInput,
  type PlanRoles,
  type RoleChange,
} from "@trefoildoor/core";

const windowMs = 10_000;
const pauseMs = 10_000;
const deadBand = 0.75;
/** Nominal speeds of an engine that does one thing, in tokens per second. */
const prefillSpeed = 9_000;
const decodeSpeed = 1_700;

/** Creates the rule. */
export function createThresholdRule(): PlanRoles {
  return (input): RoleChange | undefined => {
    if (input.engines.some((engine) => !engine.ready)) return undefined;
    const sinceMs = input.nowMs - (input.lastChangeMs ?? -Infinity);
    if (sinceMs < pauseMs) return undefined;
    const wanted = computeWanted(input);
    const engines = input.engines.filter((engine) =>
      engine.role === EngineRole.Prefill
    );
    const gap = wanted - engines.length;
    if (gap > deadBand) {
      return planChange(input, [EngineRole.Mixed, EngineRole.Prefill]);
    }
    if (gap < -deadBand) {
      return planChange(input, [EngineRole.Prefill, EngineRole.Mixed]);
    }
    return undefined;
  };
}

/** Prompts' share of the work, in engines; one engine always generates. */
function computeWanted(input: PlannerInput): number {
  const samples = input.demand.filter((sample) =>
    sample.toMs > input.nowMs - windowMs
  );
  let prefill = 0;
  let decode = 0;
  for (const sample of samples) {
    prefill += sample.promptTokens / prefillSpeed;
    decode += sample.outputTokens / decodeSpeed;
  }
  const share = prefill / Math.max(prefill + decode, Number.EPSILON);
  return Math.min(share * input.engines.length, input.engines.length - 1);
}

function planChange(
  input: PlannerInput,
  [from, to]: readonly [EngineRole, EngineRole],
): RoleChange | undefined {
  const candidates = input.engines.filter((engine) => engine.role === from);
  const engine =
    candidates.toSorted((left, right) =>
      (left.report?.running ?? 0) - (right.report?.running ?? 0)
    )[0];
  return engine && { engine: engine.name, role: to, gain: 0 };
}
