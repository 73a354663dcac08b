/** Types of calls to plain services. */
import type {
  BundleService,
  CallerName,
  Outcome,
  Refusal,
  ServiceAnswer,
  ServiceClient,
  ServiceRequest,
} from "../../types/index.ts";
import type { CallBook } from "../../process/calls/index.ts";
import type { LogEvent } from "../../shared/index.ts";

/** An endpoint of a plain service. */
export type ServiceEndpoint = BundleService["endpoints"][number];

/** One caller's call to a plain service. */
export interface ServiceCall {
  readonly caller: CallerName;
  readonly service: BundleService;
  /** Request with the caller's own key, if there is one. */
  readonly request: ServiceRequest;
  /** Aborts when the caller's deadline has passed. */
  readonly signal: AbortSignal;
}

/** What calls need of their instance. */
export interface CallContext {
  readonly book: CallBook;
  /** Endpoints that take work for a service now, best first. */
  readonly rankEndpoints: (
    service: BundleService,
  ) => readonly ServiceEndpoint[];
  readonly openClient: (endpoint: ServiceEndpoint) => ServiceClient;
  /** Whether the retry budget allows one more attempt; defaults to always. */
  readonly allowRetry?: () => boolean;
  readonly logEvent?: LogEvent;
}

/** Answer to a call. */
export interface CallAnswer extends ServiceAnswer {
  readonly outcome: Outcome;
  /** Whether an earlier request with the same key ran the call. */
  readonly repeated: boolean;
}

/** Pause after which a caller may come back while the log is unavailable, in ms. */
export const logRetryAfterMs = 2_000;
/** Pause after which a caller may ask again for an undecided call, in ms. */
export const undecidedRetryAfterMs = 1_000;
/** Pause after which a caller may try a service again, in ms. */
export const endpointRetryAfterMs = 1_000;

/** Builds the refusal of a call. */
export function buildRefusal(
  reason: Refusal["reason"],
  refusal: Omit<Refusal, "reason">,
): Refusal {
  return { reason, ...refusal };
}
