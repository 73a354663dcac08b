/** Refusal of streams whose callers would give up before the first event. */
import { RefusalReason } from "../../types/index.ts";
import { getAgeMs, getLeftMs } from "./attempt.ts";
import { buildNotRun } from "./ends.ts";
import { takePromptTurn } from "./expect_room.ts";
import type { Placement } from "./place_generation.ts";
import { placeAtFree, type StreamState } from "./stream_state.ts";
import type { ForwardEnd } from "./types.ts";

/** Callers give up on a stream without events after this time or `giveUpGoalFactor` times the goal, whichever is longer. */
const giveUpMs = 2_000;
const giveUpGoalFactor = 4;
/** Largest share of the caller's time limit that may pass until the expected start of the generation. */
const maxStartShare = 0.95;
/** Largest share of it that may pass until the end of the queue; excludes the call's own prefill, so that large prompts are not refused for their size. */
const maxQueueShare = 0.5;
/** Least retry-after if engines are too busy, in ms. */
const busyRetryMs = 400;

/**
 * Refuses a call if its caller is expected to give up before the first event,
 * or returns the placement to go by: where the engine of `placement` is too
 * busy, one at an engine without work ahead that meets the goal. A prompt is
 * not refused for its size, nor is a call that may have run.
 */
export function refuseOverloaded(
  state: StreamState,
  placement: Placement,
): ForwardEnd | Placement {
  const excessMs = estimateExcessMs(state, placement);
  if (excessMs <= 0 || state.runs > 0) return placement;
  const beginMs = getAgeMs(state) + placement.readMs;
  const isIdle = placement.queueMs === 0;
  if (isIdle && beginMs <= getBeginLimitMs(state)) return placement;
  const free = placeAtFree(state);
  const ownMs = free ? free.readMs - free.queueMs : Infinity;
  if (free && getAgeMs(state) + ownMs <= state.route.goalMs) return free;
  return buildNotRun(
    RefusalReason.Overloaded,
    "engines are too busy to begin in time",
    {
      retryAfterMs: takePromptTurn(state, placement, {
        leastMs: Math.max(busyRetryMs, excessMs),
      }),
    },
  );
}

/** Time by which the call would wait or begin too late, in ms; 0 or less if it would not. */
function estimateExcessMs(
  state: StreamState,
  { queueMs, readMs }: Placement,
): number {
  const ageMs = getAgeMs(state);
  return Math.max(
    ageMs + queueMs - getCallerWaitMs(state) * maxQueueShare,
    ageMs + readMs - getBeginLimitMs(state) * maxStartShare,
  );
}

/** Time from the receipt of a call for which callers of its route wait for the first event, in ms. */
function getCallerWaitMs({ route }: StreamState): number {
  const waitMs = Math.max(giveUpMs, route.goalMs * giveUpGoalFactor);
  return Math.min(waitMs, route.timeoutMs);
}

/** The same for this call, which may end sooner. */
function getBeginLimitMs(state: StreamState): number {
  const ownMs = getAgeMs(state) + getLeftMs(state);
  return Math.min(getCallerWaitMs(state), ownMs);
}
