/** Errors of requests on pooled connections. */
import { Effect, RemoteError, RemoteFailure } from "@trefoildoor/core";

/** Whether nothing listens at the address, or it cannot be reached otherwise. */
function classifyError(error: unknown): RemoteFailure {
  const { code } = error as NodeJS.ErrnoException;
  return code === "ECONNREFUSED"
    ? RemoteFailure.NotListening
    : RemoteFailure.Unreachable;
}

/** Error of a request that its signal ended; `sent` says whether any byte went out. */
export function createAbortError(
  signal: AbortSignal | undefined,
  sent: boolean,
): RemoteError {
  const timedOut = signal?.reason instanceof DOMException &&
    signal.reason.name === "TimeoutError";
  return new RemoteError(
    timedOut ? "no answer in time" : "call was given up",
    {
      failure: timedOut ? RemoteFailure.Timeout : RemoteFailure.Aborted,
      effect: sent ? Effect.Unknown : Effect.None,
      cause: signal?.reason,
    },
  );
}

/** Converts an error of a connection; `sent` says whether any byte of the request went out. */
export function convertError(error: unknown, sent: boolean): RemoteError {
  return new RemoteError(
    error instanceof Error ? error.message : String(error),
    {
      failure: classifyError(error),
      effect: sent ? Effect.Unknown : Effect.None,
      cause: error,
    },
  );
}

/** Error of a request to an address that no connection can be opened to. */
export function createAddressError(address: string): RemoteError {
  return new RemoteError(`"${address}" is not an address`, {
    failure: RemoteFailure.Refused,
    effect: Effect.None,
  });
}

/** Error of a request that must not be written any more. */
export function createRefusal(): RemoteError {
  return new RemoteError("request was not to be written any more", {
    failure: RemoteFailure.Refused,
    effect: Effect.None,
  });
}
