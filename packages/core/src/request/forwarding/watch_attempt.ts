/** Watches an unanswered attempt of a call that may be repeated, and ends it once what replaces it is secured. */
import type { ListedEndpoint } from "../../types/index.ts";
import { type PolledTimer, startPolledTimer } from "../../shared/index.ts";
import {
  type CallState,
  getLeftMs,
  takeBackSend,
  takeRepeat,
} from "./attempt.ts";
import { chooseEndpoint } from "./choose_endpoint.ts";
import {
  type AttemptTimes,
  isLate,
  judgeRepeat,
  lateFactor,
  RepeatVerdict,
} from "./judge_repeat.ts";
import { forwardEvents } from "./events.ts";

/** An attempt that is watched. */
export interface AttemptWatch {
  /** Aborts once the call's next endpoint is secured. */
  readonly signal: AbortSignal;
  /** Whether the attempt has lasted for longer than the service's answers explain. */
  readonly isLate: () => boolean;
  /** Ends the watch, and logs a call that was kept waiting. */
  readonly stop: () => void;
}

/** An attempt at an endpoint. */
export interface Attempt {
  readonly endpoint: ListedEndpoint;
  /** When it began, in ms of `performance.now()`. */
  readonly sentMs: number;
}

/** Interval at which an attempt past its goal is looked at, in ms: a small part of what callers wait for. */
const checkIntervalMs = 100;

/** Watches an attempt until it is stopped or ended. */
export function watchAttempt(state: CallState, attempt: Attempt): AttemptWatch {
  const late = new AbortController();
  const firstMs = Math.min(state.route.goalMs * lateFactor, getLeftMs(state));
  let verdict: RepeatVerdict | undefined;
  let times = getTimes(state, attempt);
  let timer: PolledTimer = startPolledTimer(
    check,
    Math.max(firstMs || 0, checkIntervalMs),
  );

  function check(): void {
    if (state.signal.aborted) return;
    times = getTimes(state, attempt);
    verdict = tryRepeat(state, { ...attempt, times });
    if (verdict !== RepeatVerdict.Repeat) {
      timer = startPolledTimer(check, checkIntervalMs);
      return;
    }
    logOverdue(state, { ...attempt, times, verdict });
    late.abort();
  }

  return {
    signal: late.signal,
    isLate: () => isLate(getTimes(state, attempt)),
    stop(): void {
      timer.cancel();
      if (verdict !== undefined && state.route.goalMs > 0) {
        logOverdue(state, { ...attempt, times, verdict });
      }
    },
  };
}

/** Gives back what was secured for a repeat that is not made. */
export function releaseRepeat(state: CallState): void {
  if (!state.secured) return;
  state.secured = undefined;
  takeBackSend(state);
}

function getTimes(
  state: CallState,
  { endpoint, sentMs }: Attempt,
): AttemptTimes {
  const { parts, route, service } = state;
  return {
    goalMs: route.goalMs,
    usualMs: parts.usualTimes.getUsualMs(
      { service, route: route.name },
      { except: endpoint.name },
    ),
    sinceSendMs: performance.now() - sentMs,
    leftMs: getLeftMs(state),
  };
}

/** Secures a permission and an endpoint for a repeat, if its time has come; the endpoint last, as the choice of one takes longest. */
function tryRepeat(
  state: CallState,
  { endpoint, times }: Attempt & { readonly times: AttemptTimes },
): RepeatVerdict {
  const byTime = judgeRepeat({
    ...times,
    hasEndpoint: true,
    isPermitted: true,
  });
  if (byTime !== RepeatVerdict.Repeat) return byTime;
  if (!takeRepeat(state)) {
    return judgeRepeat({ ...times, hasEndpoint: true, isPermitted: false });
  }
  const next = findReplacement(state, endpoint);
  if (next) reserveRepeat(state, next);
  else takeBackSend(state);
  return judgeRepeat({
    ...times,
    hasEndpoint: next !== undefined,
    isPermitted: true,
  });
}

/** Finds an endpoint that can take the call at once; undefined also if the call would be refused before it reached one. */
function findReplacement(
  state: CallState,
  endpoint: ListedEndpoint,
): ListedEndpoint | undefined {
  const { call, parts, workspace, excluded } = state;
  const { endpointTracker } = parts;
  if (!parts.listing.isCurrent()) return undefined;
  if (parts.keys?.findRefusal(call, workspace)) return undefined;
  excluded.add(endpoint.name);
  const next = chooseEndpoint(state);
  excluded.delete(endpoint.name);
  if (!next || endpointTracker.isSuspended(next.name)) return undefined;
  const { calls } = endpointTracker.getLoad(next.name);
  if (calls >= next.slots || parts.crashes.findVerdict(call)) return undefined;
  return next;
}

/** Keeps the endpoint, and its room if it has a limit, for the call's next send. */
function reserveRepeat(state: CallState, next: ListedEndpoint): void {
  const { limits } = state.parts;
  state.secured = next;
  if (!limits.isLimited(next.name) || state.reserved === next.name) return;
  limits.recordSend(next);
  state.reserved = next.name;
}

/** Logs and counts a call that is repeated early or was kept waiting past its goal, once a call. */
function logOverdue(
  state: CallState,
  { endpoint, times, verdict }: Attempt & {
    readonly times: AttemptTimes;
    readonly verdict: RepeatVerdict;
  },
): void {
  if (state.isOverdue) return;
  state.isOverdue = true;
  const { call, parts, route, service } = state;
  const { usualMs } = times;
  parts.onOverdue?.(verdict);
  parts.logEvent(forwardEvents.overdue, {
    call: call.id,
    route: route.name,
    service,
    endpoint: endpoint.name,
    verdict,
    goalMs: times.goalMs,
    usualMs: usualMs === undefined ? undefined : Math.round(usualMs),
    sinceSendMs: Math.round(times.sinceSendMs),
    leftMs: Math.round(times.leftMs),
  });
}
