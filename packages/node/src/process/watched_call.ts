/**
 * Crash evidence of one call to a plain service: whether calls like it have
 * crashed endpoints, and what becomes of it at each endpoint.
 */
import {
  type CompletionContext,
  crashEvents,
  digestText,
  Effect,
  type EndpointName,
  logEvent,
  type PromptRequest,
  RemoteError,
  RemoteFailure,
  type ServiceRequest,
} from "@trefoildoor/core";

/** A call whose sends are recorded for crash evidence. */
export interface WatchedCall {
  /** Whether endpoints have crashed under requests like this one. */
  readonly isSuspect: (request: ServiceRequest) => boolean;
  /** Throws a `RemoteError` without effect if the request must not be sent. */
  readonly check: (request: ServiceRequest) => void;
  /** Sends the request that was checked last, and records how that ends. */
  readonly run: <T>(
    endpoint: EndpointName,
    send: () => Promise<T>,
  ) => Promise<T>;
}

/** Creates the record of one call; repeats of it, also under other keys, share their evidence. */
export function createWatchedCall(
  callId: string,
  { inFlight, promptCrashes }: Pick<
    CompletionContext,
    "inFlight" | "promptCrashes"
  >,
): WatchedCall {
  let described: PromptRequest | undefined;

  /** The same object for all sends, as a trial is tied to it. */
  function describe({ method, path, body }: ServiceRequest): PromptRequest {
    const digest = digestText(JSON.stringify([method, path, body]));
    if (described?.digest !== digest) {
      described = { requestId: callId, digest, prefixes: [] };
    }
    return described;
  }

  function isSuspect(request: ServiceRequest): boolean {
    const verdict = promptCrashes.findVerdict(describe(request));
    if (!verdict) return false;
    logEvent(crashEvents.callRefused, {
      call: callId,
      trait: verdict.trait,
      crashes: verdict.crashes.length,
      lastCrash: verdict.crashes.at(-1),
      lastCrashAgeMs: Math.round(performance.now() - verdict.lastCrashMs),
    });
    return true;
  }

  return {
    isSuspect,
    check(request): void {
      if (!isSuspect(request)) return;
      throw new RemoteError("endpoints crash under calls like this one", {
        failure: RemoteFailure.Refused,
        effect: Effect.None,
      });
    },
    async run<T>(endpoint: EndpointName, send: () => Promise<T>): Promise<T> {
      const request = described;
      if (!request) return await send();
      const remove = inFlight.add(endpoint, request);
      try {
        const answer = await send();
        promptCrashes.recordSuccess(request);
        return answer;
      } catch (error) {
        const unsent = error instanceof RemoteError &&
          error.effect === Effect.None;
        if (!unsent) inFlight.recordLoss(endpoint, request);
        throw error;
      } finally {
        remove();
      }
    },
  };
}
