/** Errors of remote calls; each states whether the action may have taken effect. */

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
  /** Nothing listens at the address: the process there has ended. */
  NotListening = "not_listening",
  Timeout = "timeout",
  Refused = "refused",
  RateLimited = "rate_limited",
  NotFound = "not_found",
  /** A read started before the first record that the log retains. */
  Expired = "expired",
  /** The order's fencing number is lower than one the engine has seen. */
  Fenced = "fenced",
  /** The engine's role, or a change in progress, rules out the request. */
  Busy = "busy",
  Malformed = "malformed",
  Aborted = "aborted",
}

/** Details of a failed remote call. */
export interface RemoteErrorDetails {
  readonly failure: RemoteFailure;
  readonly effect: Effect;
  /** Minimum delay before a retry, in ms. */
  readonly retryAfterMs?: number;
  readonly cause?: unknown;
}

/** Error of a call to the platform, an endpoint or a peer. */
export class RemoteError extends Error {
  readonly failure: RemoteFailure;
  readonly effect: Effect;
  readonly retryAfterMs: number | undefined;

  /** Copies `details` to the error's fields; its cause becomes the standard `cause`. */
  constructor(message: string, details: RemoteErrorDetails) {
    super(message, { cause: details.cause });
    this.name = "RemoteError";
    this.failure = details.failure;
    this.effect = details.effect;
    this.retryAfterMs = details.retryAfterMs;
  }
}
