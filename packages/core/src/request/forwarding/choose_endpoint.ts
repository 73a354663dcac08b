/** Load balancing of plain services: prefers endpoints with few calls, in the own failure domain, and with an open connection. */
import type { ListedEndpoint } from "../../types/index.ts";
import { type CallState, mayUse } from "./attempt.ts";

/** Load added to an endpoint in another failure domain, in calls. */
const otherDomainPenaltyCalls = 1.5;
/** Load added to an endpoint without an idle open connection, in calls. */
const connectPenaltyCalls = 1;

/** Chooses an endpoint that the call has not excluded; suspended ones only if no other is left; undefined where none is or limits leave no room. */
export function chooseEndpoint(
  state: CallState,
  /** Longest time for which a connection may have been idle, in ms. */
  maxIdleMs?: number,
): ListedEndpoint | undefined {
  const { endpoints, endpointTracker, ownDomain, random, sender } = state.parts;
  const allowed = endpoints.listAccepting(state.service)
    .filter(({ name }) => !state.excluded.has(name));
  const healthy = allowed.filter(({ name }) =>
    !endpointTracker.isSuspended(name)
  );
  const candidates = (healthy.length > 0 ? healthy : allowed)
    .filter((endpoint) => mayUse(state, endpoint));
  let best:
    | { readonly endpoint: ListedEndpoint; readonly cost: number }
    | undefined;
  for (const endpoint of candidates) {
    const distance = endpoint.failureDomain === ownDomain
      ? 0
      : otherDomainPenaltyCalls;
    const connecting = sender.isConnected(endpoint, { maxIdleMs })
      ? 0
      : connectPenaltyCalls;
    const cost = endpointTracker.getLoad(endpoint.name).calls + distance +
      connecting +
      random();
    if (!best || cost < best.cost) best = { endpoint, cost };
  }
  return best?.endpoint;
}
