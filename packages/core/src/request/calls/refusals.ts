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

/** The key is in use and its result is not known. */
export function refuseUndecided(): Refusal {
  return buildRefusal(RefusalReason.Undecided, {
    outcome: Outcome.Unknown,
    message: "an earlier request with this key has no recorded result",
    retryAfterMs: undecidedRetryAfterMs,
  });
}

/** The call ran; its answer was not kept. */
export function refuseLongAnswer(): Refusal {
  return buildRefusal(RefusalReason.Undecided, {
    outcome: Outcome.Done,
    message: "the call was run and its answer is too long to be kept",
  });
}

/** The key belongs to a request with other contents. */
export function refuseMismatch(): Refusal {
  return buildRefusal(RefusalReason.KeyMismatch, {
    outcome: Outcome.NotRun,
    message: "idempotency key was used for another request",
  });
}

/** The key is so old that its call may have run and been forgotten. */
export function refuseExpired(): Refusal {
  return buildRefusal(RefusalReason.KeyExpired, {
    outcome: Outcome.Unknown,
    message: "idempotency key is older than the calls that are remembered",
  });
}

function refuseAhead(): Refusal {
  return buildRefusal(RefusalReason.Malformed, {
    outcome: Outcome.NotRun,
    message: "idempotency key is dated ahead of the log's clock",
  });
}

/**
 * The log did not take the intent. "Not run" is true of the key only when the
 * log was read after the request came and the key was free: otherwise an
 * earlier request with the key may have run at another instance.
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

/** Refusal of an intent that every reader ignores. */
export function refuseVoidIntent(state: CallsState, key: string): Refusal {
  if (isKeyExpired(state, key)) return refuseExpired();
  if (isKeyAhead(state, key)) return refuseAhead();
  return buildRefusal(RefusalReason.Overloaded, {
    outcome: Outcome.NotRun,
    message: "too many calls are undecided",
    retryAfterMs: logRetryAfterMs,
  });
}

/** No endpoint took the call, and its intent is given up. */
export function refuseNoEndpoint(): Refusal {
  return buildRefusal(RefusalReason.NoEndpoint, {
    outcome: Outcome.NotRun,
    message: "no endpoint of the service took the call",
    retryAfterMs: endpointRetryAfterMs,
  });
}

/** An endpoint may have run the call and its answer is lost. */
export function refuseUnknown(): Refusal {
  return buildRefusal(RefusalReason.EndpointFailed, {
    outcome: Outcome.Unknown,
    message: "the service may have run the call",
    retryAfterMs: undecidedRetryAfterMs,
  });
}
