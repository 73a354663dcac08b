/** Refusals of calls under an idempotency key. */
import {
  type CallsState,
  isKeyAhead,
  isKeyExpired,
} from "../../process/calls/index.ts";
import { Outcome, type Refusal, RefusalReason } from "../../types/index.ts";
import {
  buildRefusal,
  endpointRetryAfterMs,
  logRetryAfterMs,
  undecidedRetryAfterMs,
} from "./call_types.ts";

/** Refuses a repeat whose key is in use and has no known result. */
export function refuseUndecided(): Refusal {
  return buildRefusal(RefusalReason.Undecided, {
    outcome: Outcome.Unknown,
    message: "an earlier request with this key has no recorded result",
    retryAfterMs: undecidedRetryAfterMs,
  });
}

/** Refuses a repeat whose call ran but whose answer was too long to store. */
export function refuseLongAnswer(): Refusal {
  return buildRefusal(RefusalReason.Undecided, {
    outcome: Outcome.Done,
    message: "the call was run and its answer is too long to be kept",
  });
}

/** Refuses a request whose key belongs to a request with other contents. */
export function refuseMismatch(): Refusal {
  return buildRefusal(RefusalReason.KeyMismatch, {
    outcome: Outcome.NotRun,
    message: "idempotency key was used for another request",
  });
}

/** Refuses a key so old that the record of its call may have been deleted. */
export function refuseExpired(): Refusal {
  return buildRefusal(RefusalReason.KeyExpired, {
    outcome: Outcome.Unknown,
    message: "idempotency key is older than the calls that are remembered",
  });
}

function refuseFutureKey(): Refusal {
  return buildRefusal(RefusalReason.Malformed, {
    outcome: Outcome.NotRun,
    message: "idempotency key is dated ahead of the log's clock",
  });
}

/**
 * Refuses a call whose intent could not be appended. The outcome is `NotRun`
 * only when the log was read after the request arrived and the key was free:
 * otherwise an earlier request with the key may have run at another instance.
 */
export function refuseLogOutage(
  options: { readonly isKeyFree: boolean },
): Refusal {
  return buildRefusal(RefusalReason.LogUnavailable, {
    outcome: options.isKeyFree ? Outcome.NotRun : Outcome.Unknown,
    message: options.isKeyFree
      ? "the log did not take the call, so it was not run"
      : "this request was not run, but an earlier one with its key may have been",
    retryAfterMs: logRetryAfterMs,
  });
}

/** Refuses a call whose intent the log's readers ignore: key expired, key dated in the future, or too many open calls. */
export function refuseIgnoredIntent(state: CallsState, key: string): Refusal {
  if (isKeyExpired(state, key)) return refuseExpired();
  if (isKeyAhead(state, key)) return refuseFutureKey();
  return buildRefusal(RefusalReason.Overloaded, {
    outcome: Outcome.NotRun,
    message: "too many calls are undecided",
    retryAfterMs: logRetryAfterMs,
  });
}

/** Refuses a call that no endpoint ran and whose intent is given up. */
export function refuseNoEndpoint(): Refusal {
  return buildRefusal(RefusalReason.NoEndpoint, {
    outcome: Outcome.NotRun,
    message: "no endpoint of the service took the call",
    retryAfterMs: endpointRetryAfterMs,
  });
}

/** Refuses a call that an endpoint may have run without its answer arriving. */
export function refuseUnknown(): Refusal {
  return buildRefusal(RefusalReason.EndpointFailed, {
    outcome: Outcome.Unknown,
    message: "the service may have run the call",
    retryAfterMs: undecidedRetryAfterMs,
  });
}
