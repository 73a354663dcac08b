/** Load balancing of plain services: prefers endpoints with few calls, in the own failure domain, and with an open connection. */
import type { ListedEndpoint } from "../../types/index.ts";
import { type CallState, takeRoom } from "./attempt.ts";

/** Load added to an endpoint in another failure domain, in calls. */
const otherDomainPenaltyCalls = 1.5;
/** Load added to an endpoint without an idle open connection, in calls. */
const connectPenaltyCalls = 1;

/** Chooses an endpoint that the call has not excluded and whose limit leaves room; suspended ones only if no other is left; undefined where none is. */
export function chooseEndpoint(
  state: CallState,
  /** Longest time for which a connection may have been idle, in ms. */
  maxIdleMs?: number,
): ListedEndpoint | undefined {
  const { endpoints, endpointTracker, ownDomain, random, sender } = state.parts;
  const estimateCost = (endpoint: ListedEndpoint): number => {
    const distance = endpoint.failureDomain === ownDomain
      ? 0
      : otherDomainPenaltyCalls;
    const connecting = sender.isConnected(endpoint, { maxIdleMs })
      ? 0
      : connectPenaltyCalls;
    return endpointTracker.getLoad(endpoint.name).calls + distance +
      connecting +
      random();
  };
  state.heldBack.clear();
  const ranked = endpoints.listAccepting(state.service)
    .filter(({ name }) => !state.excluded.has(name))
    .map((endpoint) => ({
      endpoint,
      suspended: endpointTracker.isSuspended(endpoint.name) ? 1 : 0,
      cost: estimateCost(endpoint),
    }))
    .toSorted((left, right) =>
      left.suspended - right.suspended || left.cost - right.cost
    );
  return ranked.find(({ endpoint }) => takeRoom(state, endpoint))?.endpoint;
}
