/** Types of calls to plain services. */
import {
  type BundleService,
  type CallerName,
  Outcome,
  type Refusal,
  RefusalReason,
  type ServiceAnswer,
  type ServiceClient,
  type ServiceRequest,
} from "../../types/index.ts";
import type { CallTracker } from "../../process/calls/index.ts";
import type { LogEvent } from "../../shared/index.ts";

/** An endpoint of a plain service. */
export type ServiceEndpoint = BundleService["endpoints"][number];

/** Call to a plain service on behalf of a caller. */
export interface ServiceCall {
  readonly caller: CallerName;
  readonly service: BundleService;
  /** Request with the caller's idempotency key, if it sent one. */
  readonly request: ServiceRequest;
  /** Aborts when the caller's deadline passes. */
  readonly signal: AbortSignal;
}

/** State and clients of the instance that its calls use. */
export interface CallContext {
  readonly callTracker: CallTracker;
  /** Lists the endpoints that currently accept calls for a service, best first. */
  readonly rankEndpoints: (
    service: BundleService,
  ) => readonly ServiceEndpoint[];
  readonly openClient: (endpoint: ServiceEndpoint) => ServiceClient;
  /** Whether endpoints have crashed under calls like this one, so that it must not be sent. */
  readonly isSuspect?: (call: ServiceCall) => boolean;
  /** Time after which to retry, in ms, if only the limits of the service's endpoints leave no room; undefined otherwise. */
  readonly refuseLimited?: (service: BundleService) => number | undefined;
  /** Whether the retry budget allows one more attempt; defaults to always. */
  readonly allowRetry?: () => boolean;
  readonly logEvent?: LogEvent;
}

/** Answer of the service with the call's outcome. */
export interface CallAnswer extends ServiceAnswer {
  readonly outcome: Outcome;
  /** Whether the answer belongs to an earlier request with the same key. */
  readonly repeated: boolean;
}

/** Retry delay sent to callers while the log is unavailable, in ms. */
export const logRetryAfterMs = 2_000;
/** Retry delay sent to callers of a call without a known result, in ms. */
export const undecidedRetryAfterMs = 1_000;
/** Retry delay sent to callers when no endpoint ran the call or one failed, in ms. */
export const endpointRetryAfterMs = 1_000;

/** Retry delay sent to callers whose calls crash endpoints, in ms. */
const suspectRetryAfterMs = 60_000;

/** Refuses a call that must not be sent or fits no endpoint's limit, before anything is written or sent; undefined if it may be sent. */
export function refuseUnsendable(
  call: ServiceCall,
  context: CallContext,
): Refusal | undefined {
  if (context.isSuspect?.(call)) {
    return buildRefusal(RefusalReason.Suspect, {
      outcome: Outcome.NotRun,
      message:
        `endpoints of "${call.service.name}" crash under calls like this`,
      retryAfterMs: suspectRetryAfterMs,
    });
  }
  return refuseLimited(call.service, context);
}

function refuseLimited(
  service: BundleService,
  context: CallContext,
): Refusal | undefined {
  const retryAfterMs = context.refuseLimited?.(service);
  if (retryAfterMs === undefined) return undefined;
  return buildRefusal(RefusalReason.Limited, {
    outcome: Outcome.NotRun,
    message: `the endpoints of "${service.name}" limit their requests`,
    retryAfterMs,
  });
}

/** Builds a refusal from its reason and its other fields. */
export function buildRefusal(
  reason: Refusal["reason"],
  refusal: Omit<Refusal, "reason">,
): Refusal {
  return { reason, ...refusal };
}
