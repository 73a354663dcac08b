/**
 * Decides which refusals prove that a call has not run. A faulty endpoint may
 * write a refusal that nobody asked for, or the copy of an earlier one, which is
 * taken for the answer to the call in flight on its connection.
 */
import {
  CallKind,
  type EndpointName,
  type SendParameters,
} from "../../types/index.ts";
import type { CallState } from "./attempt.ts";
import { forwardEvents } from "./events.ts";
import type { EndpointAnswer } from "./types.ts";

/** What refusals of endpoints prove, and which endpoints give refusals that name no call. */
export interface RefusalProofs {
  /** Records the refusal of an endpoint and returns whether it answers the call in flight: it names the call, which was not refused on its connection before, or nothing else was ever asked there. */
  readonly accept: (endpoint: EndpointName, answer: EndpointAnswer) => boolean;
  /** Whether the endpoint's refusals prove something only on connections of their own. */
  readonly areUnnamed: (endpoint: EndpointName) => boolean;
}

/** Endpoints that are remembered; the earliest are forgotten first. */
const maxEndpoints = 1_024;

/** Creates the decisions of one process; no endpoint is known to give refusals without a name. */
export function createRefusalProofs(): RefusalProofs {
  const unnamed = new Set<EndpointName>();
  return {
    accept(endpoint, { head, earlierAnswers, refusedBefore }): boolean {
      if (head.callId !== undefined) return !refusedBefore;
      unnamed.add(endpoint);
      const [earliest] = unnamed;
      if (unnamed.size > maxEndpoints && earliest !== undefined) {
        unnamed.delete(earliest);
      }
      return earlierAnswers === 0;
    },
    areUnnamed: (endpoint) => unnamed.has(endpoint),
  };
}

/** Whether the call runs at most once, so that only a proof may tell its caller that it has not run. */
export function isRunOnce({ route }: CallState): boolean {
  return route.kind !== CallKind.Idempotent &&
    !(route.kind === CallKind.Stream && route.resumable);
}

/**
 * Whether the call needs a connection that has carried no other, on which any
 * refusal is its own: plain calls that run once always, others only at an
 * endpoint that refuses without an id, as new connections are dear.
 */
export function needsOwnConnection(
  state: CallState,
  { endpoint, exportOnly }: SendParameters,
): boolean {
  if (exportOnly) return false;
  return state.route.kind === CallKind.AtMostOnce ||
    state.parts.refusals.areUnnamed(endpoint.name);
}

/** Logs a refusal, and finds out whether it may answer something else than the call, which may have run then. */
export function findRefusalFault(
  answer: EndpointAnswer,
  state: CallState,
  { endpoint, exportOnly }: SendParameters,
): string | undefined {
  const { head, earlierAnswers, refusedBefore } = answer;
  if (!head.notRun) return undefined;
  const { call, parts } = state;
  const proven = parts.refusals.accept(endpoint.name, answer);
  parts.logEvent(forwardEvents.endpointRefused, {
    call: call.id,
    endpoint: endpoint.name,
    export: exportOnly,
    status: head.status,
    namesCall: head.callId !== undefined,
    earlierAnswers,
    refusedBefore,
    proven,
  });
  return proven || exportOnly
    ? undefined
    : "refusal may belong to another call or to an earlier one";
}
