/** Typed errors of remote calls, which say whether an effect may have happened. */

/** Whether the action behind a failed call may have taken effect. */
export enum Effect {
  /** The action was certainly not carried out. */
  None = "none",
  /** The action may or may not have been carried out. */
  Unknown = "unknown",
}

/** Why a remote call failed. */
export enum RemoteFailure {
  Unreachable = "unreachable",
  Timeout = "timeout",
  Refused = "refused",
  RateLimited = "rate_limited",
  NotFound = "not_found",
  /** A read began before the first record that the log still keeps. */
  Expired = "expired",
  /** The order's fencing number is lower than one the engine has seen. */
  Fenced = "fenced",
  /** The engine is in a role or a change that excludes the request. */
  Busy = "busy",
  Malformed = "malformed",
  Aborted = "aborted",
}

/** Details of a failed remote call. */
export interface RemoteErrorDetails {
  readonly failure: RemoteFailure;
  readonly effect: Effect;
  /** Shortest sensible pause before another try, in ms. */
  readonly retryAfterMs?: number;
  readonly cause?: unknown;
}

/** Error of a call to the platform, an endpoint or a peer. */
export class RemoteError extends Error {
  readonly failure: RemoteFailure;
  readonly effect: Effect;
  readonly retryAfterMs: number | undefined;

  /** Keeps the details next to the message. */
  constructor(message: string, details: RemoteErrorDetails) {
    super(message, { cause: details.cause });
    this.name = "RemoteError";
    this.failure = details.failure;
    this.effect = details.effect;
    this.retryAfterMs = details.retryAfterMs;
  }
}
