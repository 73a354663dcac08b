/** Chooses an endpoint of a plain service: the least loaded, near ones first. */
import type { ListedEndpoint } from "../../types/index.ts";
import type { CallState } from "./attempt.ts";

/** Places taken by which another failure domain counts as fuller. */
const otherDomainCalls = 1.5;

/** Chooses an endpoint that has not failed the call; undefined where none is left. */
export function chooseEndpoint(state: CallState): ListedEndpoint | undefined {
  const { endpoints, board, ownDomain, random } = state.parts;
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
    const cost = board.getLoad(endpoint.name).calls + distance + random();
    if (!best || cost < best.cost) best = { endpoint, cost };
  }
  return best?.endpoint;
}
