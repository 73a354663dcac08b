/**
 * Decides whether an unanswered call is sent to another endpoint before its time
 * is over. Answers two kinds of load: an endpoint that is silent or slow beside
 * quick ones, whose calls other endpoints can still answer in time, and a
 * service that is slow as a whole, where a repeat only adds load.
 */

/** What is known of an attempt that has no answer yet. */
export interface AttemptTimes {
  /** Latency target of the route, in ms. */
  readonly goalMs: number;
  /** Time within which nearly all answers of the other endpoints come, in ms; undefined if not measured. */
  readonly usualMs: number | undefined;
  /** Time since the call was sent, in ms. */
  readonly sinceSendMs: number;
  /** Time until the call's deadline, in ms. */
  readonly leftMs: number;
}

/** What the decision is based on. */
export interface RepeatFacts extends AttemptTimes {
  /** Whether another endpoint can take the call. */
  readonly hasEndpoint: boolean;
  /** Whether the retry budget permits a repeat. */
  readonly isPermitted: boolean;
}

/** What is done with an unanswered call, and why it is kept waiting. */
export enum RepeatVerdict {
  Repeat = "repeat",
  /** Answers of the service may take this long. */
  NotLate = "not_late",
  /** Another endpoint is not likely to answer before the deadline. */
  NoTime = "no_time",
  NoEndpoint = "no_endpoint",
  NoPermission = "no_permission",
}

/** Multiple of the goal, or of the usual time where that is longer, after which an attempt is late. */
export const lateFactor = 1.5;
/** Multiple of the goal that answers are assumed to take while nothing is measured. */
const unmeasuredFactor = 3;

/** Judges whether the call is repeated now; only with an endpoint, a permission and enough time left. */
export function judgeRepeat(facts: RepeatFacts): RepeatVerdict {
  const { leftMs, hasEndpoint, isPermitted } = facts;
  if (!isLate(facts)) return RepeatVerdict.NotLate;
  if (!(leftMs > 0 && leftMs >= getExpectedMs(facts))) {
    return RepeatVerdict.NoTime;
  }
  if (!hasEndpoint) return RepeatVerdict.NoEndpoint;
  return isPermitted ? RepeatVerdict.Repeat : RepeatVerdict.NoPermission;
}

/** Whether an attempt has lasted for longer than the service's answers explain. */
export function isLate(times: AttemptTimes): boolean {
  const { usualMs, sinceSendMs, leftMs } = times;
  const goalMs = getGoalMs(times);
  if (usualMs !== undefined) {
    return sinceSendMs >= lateFactor * Math.max(goalMs, usualMs);
  }
  if (goalMs === 0) return false;
  // An answer that has not come in this time is no likelier in the rest of it.
  const hasWaitedLonger = sinceSendMs >= Math.max(leftMs, 0);
  return hasWaitedLonger && sinceSendMs >= lateFactor * getExpectedMs(times);
}

function getExpectedMs(times: AttemptTimes): number {
  return times.usualMs ?? getGoalMs(times) * unmeasuredFactor;
}

/** The goal, in ms; 0 for one that says nothing. */
function getGoalMs({ goalMs }: AttemptTimes): number {
  return goalMs > 0 ? goalMs : 0;
}
