/** HTTP status, headers and body of refusals. */
import {
  Outcome,
  outcomeHeader,
  type Refusal,
  RefusalReason,
} from "@trefoildoor/core";

const statusByReason: Readonly<Record<RefusalReason, number>> = {
  [RefusalReason.Malformed]: 400,
  [RefusalReason.TooLarge]: 413,
  [RefusalReason.Unauthorized]: 401,
  [RefusalReason.Forbidden]: 403,
  [RefusalReason.UnknownModel]: 404,
  [RefusalReason.UnknownService]: 404,
  [RefusalReason.Overloaded]: 429,
  [RefusalReason.Limited]: 429,
  [RefusalReason.ShareUsed]: 429,
  [RefusalReason.DeadlineTooShort]: 429,
  [RefusalReason.Suspect]: 422,
  [RefusalReason.NoEndpoint]: 503,
  [RefusalReason.VersionUnknown]: 503,
  [RefusalReason.Stopping]: 503,
  [RefusalReason.KeyUnconfirmed]: 503,
  [RefusalReason.NoBundle]: 503,
  [RefusalReason.LogUnavailable]: 503,
  [RefusalReason.KeyMissing]: 400,
  [RefusalReason.KeyExpired]: 409,
  [RefusalReason.KeyMismatch]: 422,
  [RefusalReason.Undecided]: 409,
  [RefusalReason.EndpointFailed]: 502,
  [RefusalReason.DeadlineExceeded]: 504,
};

/** Returns the HTTP status of a refusal with this reason. */
export function getHttpStatus(reason: RefusalReason): number {
  return statusByReason[reason];
}

/** Headers of a refusal: the outcome, and `retry-after` in seconds, rounded up, at least 1. */
export function buildRefusalHeaders(refusal: Refusal): Record<string, string> {
  const headers: Record<string, string> = { [outcomeHeader]: refusal.outcome };
  if (refusal.retryAfterMs !== undefined) {
    headers["retry-after"] = String(
      Math.max(1, Math.ceil(refusal.retryAfterMs / 1_000)),
    );
  }
  return headers;
}

/** Body of a refusal in the format of errors of the OpenAI API. */
export function buildRefusalBody(
  refusal: Refusal,
): { readonly error: Record<string, unknown> } {
  const error: Record<string, unknown> = {
    message: refusal.message,
    type: "trefoildoor_refusal",
    code: refusal.reason,
    outcome: refusal.outcome,
  };
  if (refusal.retryAfterMs !== undefined) {
    error.retry_after_ms = refusal.retryAfterMs;
  }
  return { error };
}

/** Builds the refusal of a call that was certainly not run. */
export function refuseNotRun(
  reason: RefusalReason,
  message: string,
  options: { readonly retryAfterMs?: number } = {},
): Refusal {
  return { reason, outcome: Outcome.NotRun, message, ...options };
}
