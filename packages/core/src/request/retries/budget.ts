/**
 * Budgets of repeated calls. Each accepted request earns a fraction of a
 * repeat, so that endpoint calls stay below 1.1 per accepted request whatever
 * fails.
 */
import type { EndpointName } from "../../types/index.ts";

/** Why a call would be made again. */
export enum RepeatKind {
  /** A call that was not run, or is idempotent, goes to another endpoint. */
  Retry = "retry",
  /** A broken stream goes on where it ended. */
  Resume = "resume",
  /** A second call while the first is still open. */
  Hedge = "hedge",
}

/** Budgets of one instance. */
export interface RetryBudget {
  /** Counts a request's first call to an endpoint. */
  readonly noteAccepted: (endpoint: EndpointName) => void;
  /** Spends one repeat at the endpoint, or says no. */
  readonly allowRepeat: (endpoint: EndpointName, kind: RepeatKind) => boolean;
  /** Whether a hedge would pay; does not spend. */
  readonly needsHedge: (state: HedgeState) => boolean;
}

/** What the decision on a hedge looks at. */
export interface HedgeState {
  readonly elapsedMs: number;
  /** First token's expected time when the call was sent. */
  readonly expectedFirstTokenMs: number;
  /** First token's expected time on the best other engine. */
  readonly alternativeFirstTokenMs: number;
  /** Time left to the deadline. */
  readonly remainingMs: number;
}

const earnedPerRequest = 0.08;
const nodeBurst = 20;
const endpointBurst = 10;
/** Further repeats that broken streams may borrow. */
const resumeCredit = 20;
const maxEndpoints = 4_096;
const hedgeFactor = 3;
const leastHedgeMs = 500;

/** Creates the budgets of one instance. */
export function createRetryBudget(): RetryBudget {
  const endpoints = new Map<EndpointName, number>();
  let node = nodeBurst / 2;
  return {
    noteAccepted(endpoint): void {
      node = Math.min(node + earnedPerRequest, nodeBurst);
      const known = endpoints.get(endpoint) ?? endpointBurst / 2;
      endpoints.set(
        endpoint,
        Math.min(known + earnedPerRequest * 2, endpointBurst),
      );
      if (endpoints.size > maxEndpoints) removeOldest(endpoints);
    },
    allowRepeat(endpoint, kind): boolean {
      const credit = kind === RepeatKind.Resume ? resumeCredit : 0;
      const known = endpoints.get(endpoint) ?? endpointBurst / 2;
      if (node + credit < 1 || known + credit < 1) return false;
      node -= 1;
      endpoints.set(endpoint, known - 1);
      return true;
    },
    needsHedge(state): boolean {
      const late = Math.max(
        state.expectedFirstTokenMs * hedgeFactor,
        leastHedgeMs,
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
