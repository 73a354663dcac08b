/** Ends of forwarded calls: refusals and failures of the system's own. */
import { Outcome, RefusalReason } from "../../types/index.ts";
import type { ForwardEnd } from "./types.ts";

/** Statuses of the system's own answers. */
export enum OwnStatus {
  NotFound = 404,
  RequestTimeout = 408,
  PayloadTooLarge = 413,
  BadGateway = 502,
  /** The call did not run and never will. */
  Unavailable = 503,
  /** The time is over; the call may have run. */
  GatewayTimeout = 504,
}

/** A call that did not run, with the time to come back. */
export function refuseUnrun(
  reason: RefusalReason,
  message: string,
  options: { readonly retryAfterMs: number },
): ForwardEnd {
  return {
    outcome: Outcome.NotRun,
    reason,
    status: OwnStatus.Unavailable,
    message,
    retryAfterMs: options.retryAfterMs,
    runs: 0,
  };
}

/** A call that may have run and has no answer. */
export function buildLost(
  message: string,
  options: { readonly runs: number; readonly endpoint?: string },
): ForwardEnd {
  return {
    outcome: Outcome.Unknown,
    reason: RefusalReason.EndpointFailed,
    status: OwnStatus.BadGateway,
    message,
    ...options,
  };
}

/** A call whose time is over. */
export function buildTimedOut(
  options: { readonly runs: number; readonly endpoint?: string },
): ForwardEnd {
  return {
    outcome: options.runs > 0 ? Outcome.Unknown : Outcome.NotRun,
    reason: RefusalReason.DeadlineExceeded,
    status: OwnStatus.GatewayTimeout,
    message: "time of the call is over",
    ...options,
  };
}
