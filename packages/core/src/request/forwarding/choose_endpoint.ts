/** Chooses an endpoint of a plain service: the least loaded, near and connected ones first. */
import type { ListedEndpoint } from "../../types/index.ts";
import type { CallState } from "./attempt.ts";

/** Places taken by which another failure domain counts as fuller. */
const otherDomainCalls = 1.5;
/** Places taken by which one without a connection at hand counts as fuller. */
const connectCalls = 1;

/** Chooses an endpoint that has not failed the call; undefined where none is left. */
export function chooseEndpoint(
  state: CallState,
  /** Longest time for which a connection may have been idle, in ms. */
  maxIdleMs?: number,
): ListedEndpoint | undefined {
  const { endpoints, board, ownDomain, random, sender } = state.parts;
  const allowed = endpoints.listTaking(state.service)
    .filter(({ name }) => !state.excluded.has(name));
  const healthy = allowed.filter(({ name }) => !board.isSuspended(name));
  const candidates = healthy.length > 0 ? healthy : allowed;
  let best:
    | { readonly endpoint: ListedEndpoint; readonly cost: number }
    | undefined;
  for (const endpoint of candidates) {
    const distance = endpoint.failureDomain === ownDomain
      ? 0
      : otherDomainCalls;
    const connecting = sender.isConnected(endpoint, { maxIdleMs })
      ? 0
      : connectCalls;
    const cost = board.getLoad(endpoint.name).calls + distance + connecting +
      random();
    if (!best || cost < best.cost) best = { endpoint, cost };
  }
  return best?.endpoint;
}
