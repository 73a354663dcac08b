/** Results of calls that this system refuses or that get no answer from an endpoint. */
import { Outcome, RefusalReason } from "../../types/index.ts";
import type { ForwardEnd } from "./types.ts";

/** HTTP statuses of answers that this system generates itself. */
export enum GatewayStatus {
  Unauthorized = 401,
  NotFound = 404,
  RequestTimeout = 408,
  PayloadTooLarge = 413,
  BadGateway = 502,
  /** The call did not run and will not run later. */
  Unavailable = 503,
  /** The deadline passed; the call may have run. */
  GatewayTimeout = 504,
}

/** Statuses by which callers are told that a call has not run and will not run later. */
const promiseStatuses: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/** Retry-after of a stopping instance, in ms: others take the call at once. */
const stoppingRetryMs = 100;

/** Builds the result of a call that did not run, with the time after which to retry it, in ms. */
export function buildNotRun(
  reason: RefusalReason,
  message: string,
  options: { readonly retryAfterMs: number },
): ForwardEnd {
  return {
    outcome: Outcome.NotRun,
    reason,
    status: GatewayStatus.Unavailable,
    message,
    retryAfterMs: options.retryAfterMs,
    runs: 0,
  };
}

/** Builds the result of a call that an endpoint may have run without giving a usable answer. */
export function buildEndpointFailed(
  message: string,
  options: { readonly runs: number; readonly endpoint?: string },
): ForwardEnd {
  return {
    outcome: Outcome.Unknown,
    reason: RefusalReason.EndpointFailed,
    status: GatewayStatus.BadGateway,
    message,
    ...options,
  };
}

/** Whether a status promises callers that their call has not run and will not run later. */
export function isPromise(status: number): boolean {
  return promiseStatuses.has(status);
}

/** Builds the result of a call whose endpoint answered with a status that promises what the endpoint does not state. */
export function buildUnproven(
  status: number,
  options: { readonly runs: number; readonly endpoint: string },
): ForwardEnd {
  return buildEndpointFailed(
    `endpoint answered with status ${status} and does not state that the call has not run`,
    options,
  );
}

/** Builds the result of a call past its deadline; the outcome is unknown if any endpoint may have run it. */
export function buildTimedOut(
  options: { readonly runs: number; readonly endpoint?: string },
): ForwardEnd {
  return {
    outcome: options.runs > 0 ? Outcome.Unknown : Outcome.NotRun,
    reason: RefusalReason.DeadlineExceeded,
    status: GatewayStatus.GatewayTimeout,
    message: "time of the call is over",
    ...options,
  };
}

/** Builds the result of a call that a stopping instance does not begin or ends; the outcome is unknown if any endpoint may have run it. */
export function buildStopping(
  { runs, endpoint }: { readonly runs: number; readonly endpoint?: string },
): ForwardEnd {
  if (runs === 0) {
    return buildNotRun(RefusalReason.Stopping, "instance is stopping", {
      retryAfterMs: stoppingRetryMs,
    });
  }
  return {
    ...buildTimedOut({ runs, endpoint }),
    message: "instance stopped before the endpoint had answered",
  };
}
