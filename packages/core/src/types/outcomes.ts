/** Outcomes and refusals, as reported to callers. */

/** Whether a call was run; sent to callers as the header `trefoildoor-outcome`. */
export enum Outcome {
  /** The call ran and its answer is complete. */
  Done = "done",
  /** The call did not run and will not run. */
  NotRun = "not_run",
  /** The call may have run. */
  Unknown = "unknown",
}

/** Name of the response header that carries the outcome. */
export const outcomeHeader = "trefoildoor-outcome";

/** Why a call was refused. Each maps to one status in docs/HTTP.md. */
export enum RefusalReason {
  Malformed = "malformed",
  TooLarge = "too_large",
  Unauthorized = "unauthorized",
  Forbidden = "forbidden",
  UnknownModel = "unknown_model",
  UnknownService = "unknown_service",
  Overloaded = "overloaded",
  /** The limits that endpoints name leave no room. */
  Limited = "limited",
  /** The call's workspace has used its fair share of the room that there is. */
  ShareUsed = "share_used",
  /** It is not known recently enough whether the call's key is valid. */
  KeyUnconfirmed = "key_unconfirmed",
  DeadlineTooShort = "deadline_too_short",
  Suspect = "suspect",
  NoEndpoint = "no_endpoint",
  /** It is not known which of several software versions began the stream to take up. */
  VersionUnknown = "version_unknown",
  Stopping = "stopping",
  NoBundle = "no_bundle",
  LogUnavailable = "log_unavailable",
  KeyMissing = "key_missing",
  KeyExpired = "key_expired",
  KeyMismatch = "key_mismatch",
  Undecided = "undecided",
  EndpointFailed = "endpoint_failed",
  DeadlineExceeded = "deadline_exceeded",
}

/** A refused call, with everything that the answer reports to the caller. */
export interface Refusal {
  readonly reason: RefusalReason;
  readonly outcome: Outcome;
  readonly message: string;
  /** Delay before the caller may retry, in ms. */
  readonly retryAfterMs?: number;
}
