/**
 * Retry budgets of an instance and its endpoints. Each accepted request adds a
 * fraction of a repeat, which keeps endpoint calls below 1.1 per accepted
 * request beyond a fixed burst, whatever fails.
 */
import type { EndpointName } from "../../types/index.ts";

/** Kinds of repeated calls. */
export enum RepeatKind {
  /** A call that was not executed, or is idempotent, is sent to another endpoint. */
  Retry = "retry",
  /** An interrupted stream is continued from its last token. */
  Resume = "resume",
  /** A second call is sent while the first is still open. */
  Hedge = "hedge",
}

/** Retry budgets of one instance. */
export interface RetryBudget {
  /** Counts a request's first call to an endpoint, which adds to both budgets. */
  readonly recordAccepted: (endpoint: EndpointName) => void;
  /** Spends one repeat from both budgets; returns false if either is used up. */
  readonly consumeRepeat: (endpoint: EndpointName, kind: RepeatKind) => boolean;
  /** Whether a hedge is likely to bring the first token earlier; spends nothing. */
  readonly needsHedge: (state: HedgeState) => boolean;
}

/** Inputs of the decision to hedge, all in ms. */
export interface HedgeState {
  /** Time since the call was sent. */
  readonly elapsedMs: number;
  /** Time to first token expected when the call was sent. */
  readonly expectedFirstTokenMs: number;
  /** Time to first token now expected of the best other engine. */
  readonly alternativeFirstTokenMs: number;
  /** Time until the deadline. */
  readonly remainingMs: number;
}

const creditPerRequest = 0.08;
const maxInstanceCredit = 20;
const maxEndpointCredit = 10;
/** Repeats by which resumed streams may overdraw a budget. */
const resumeOverdraft = 20;
const maxEndpoints = 4_096;
const hedgeDelayFactor = 3;
const minHedgeDelayMs = 500;

/** Creates the budgets of one instance, each half full. */
export function createRetryBudget(): RetryBudget {
  const endpoints = new Map<EndpointName, number>();
  let ownCredit = maxInstanceCredit / 2;
  return {
    recordAccepted(endpoint): void {
      ownCredit = Math.min(
        ownCredit + creditPerRequest,
        maxInstanceCredit,
      );
      const current = endpoints.get(endpoint) ?? maxEndpointCredit / 2;
      endpoints.set(
        endpoint,
        Math.min(current + creditPerRequest * 2, maxEndpointCredit),
      );
      if (endpoints.size > maxEndpoints) removeOldest(endpoints);
    },
    consumeRepeat(endpoint, kind): boolean {
      const overdraft = kind === RepeatKind.Resume ? resumeOverdraft : 0;
      const current = endpoints.get(endpoint) ?? maxEndpointCredit / 2;
      if (ownCredit + overdraft < 1 || current + overdraft < 1) return false;
      ownCredit -= 1;
      endpoints.set(endpoint, current - 1);
      return true;
    },
    needsHedge(state): boolean {
      const late = Math.max(
        state.expectedFirstTokenMs * hedgeDelayFactor,
        minHedgeDelayMs,
      );
      if (state.elapsedMs < late) return false;
      if (state.alternativeFirstTokenMs >= state.elapsedMs) return false;
      return state.alternativeFirstTokenMs < state.remainingMs;
    },
  };
}

function removeOldest(endpoints: Map<EndpointName, number>): void {
  const oldest = endpoints.keys().next();
  if (!oldest.done) endpoints.delete(oldest.value);
}
