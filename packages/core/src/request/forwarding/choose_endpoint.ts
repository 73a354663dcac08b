/** Load balancing of plain services: prefers endpoints where a call is expected to take least, in the own failure domain, and with an open connection. */
import { estimateNewsWeight } from "../../process/capacities/index.ts";
import type { ListedEndpoint } from "../../types/index.ts";
import { type CallState, takeRoom } from "./attempt.ts";

/** Load added to an endpoint in another failure domain, in calls. */
const otherDomainPenaltyCalls = 1.5;
/** Factor of that where choices are left to chance, so that few calls leave the own failure domain without need. */
const farByChanceFactor = 2;
/** Load added to an endpoint without an idle open connection, in calls. */
const connectPenaltyCalls = 1;
/** Load added for each call that is more than the endpoint's slots, in calls: it waits for others to end. */
const waitingPenaltyCalls = 1;
/** An endpoint whose cost is more than this many times the lowest is not left to chance. */
const maxCostFactor = 4;

/** An endpoint with its expected cost, in calls at the service's median endpoint. */
interface Candidate {
  readonly endpoint: ListedEndpoint;
  readonly suspended: boolean;
  readonly cost: number;
}

/** Chooses an endpoint that the call has not excluded and whose limit leaves room; suspended ones only if no other is left; undefined where none is. */
export function chooseEndpoint(
  state: CallState,
  /** Longest time for which a connection may have been idle, in ms. */
  maxIdleMs?: number,
): ListedEndpoint | undefined {
  const { parts, service, route } = state;
  const { endpointTracker, capacities, sender } = parts;
  const instances = parts.countInstances?.() ?? 1;
  const usualMs = capacities.getUsualMs(service, route.name) ?? 0;
  const newsWeight = estimateNewsWeight(instances, usualMs);
  state.heldBack.clear();
  const accepting = parts.endpoints.listAccepting(service)
    .filter(({ name }) => !state.excluded.has(name));
  const loads = accepting.map(({ name }) => {
    const own = endpointTracker.countOwnCalls(name);
    return { own, others: endpointTracker.getLoad(name).calls - own };
  });
  const meanOthers = loads.reduce((sum, { others }) => sum + others, 0) /
    Math.max(loads.length, 1);
  const farCalls = otherDomainPenaltyCalls *
    (newsWeight < 1 ? farByChanceFactor : 1);
  const candidates = accepting.map((endpoint, index): Candidate => {
    const { own = 0, others = 0 } = loads[index] ?? {};
    const tracked = own + others * newsWeight + meanOthers * (1 - newsWeight);
    const isNear = endpoint.failureDomain === parts.ownDomain;
    const isConnected = sender.isConnected(endpoint, { maxIdleMs });
    return {
      endpoint,
      suspended: endpointTracker.isSuspended(endpoint.name),
      cost: estimateCalls(state, endpoint, { tracked }) +
        (isNear ? 0 : farCalls) + (isConnected ? 0 : connectPenaltyCalls),
    };
  });
  const ranked = rankByChance(candidates, {
    newsWeight,
    random: parts.random,
  });
  return ranked.find((endpoint) => takeRoom(state, endpoint));
}

/** Expected time of one more call, as the number of calls at the service's median endpoint that would take it as long. */
function estimateCalls(
  { parts: { capacities } }: CallState,
  endpoint: ListedEndpoint,
  { tracked }: { readonly tracked: number },
): number {
  const calls = tracked + capacities.countUntracked(endpoint.name, tracked);
  const waiting = Math.max(calls + 1 - endpoint.slots, 0);
  return (calls + 1 + waiting * waitingPenaltyCalls) *
    capacities.getSlowness(endpoint);
}

/**
 * Orders the candidates by cost and chance. Where news are recent, chance
 * decides between those that are within one call of each other; where they are
 * old, the first one is drawn with a chance that falls with its cost, the more
 * steeply the more is known.
 */
function rankByChance(
  candidates: readonly Candidate[],
  { newsWeight, random }: {
    readonly newsWeight: number;
    readonly random: () => number;
  },
): readonly ListedEndpoint[] {
  const lowest = candidates.reduce(
    (least, { cost, suspended }) => suspended ? least : Math.min(least, cost),
    Infinity,
  );
  const drawKey = (cost: number): number => {
    if (newsWeight === 1) return cost + random();
    if (cost > lowest * maxCostFactor) return Infinity;
    return -Math.log(1 - random()) * cost ** (1 / (1 - newsWeight));
  };
  return candidates
    .map((each) => ({ ...each, key: drawKey(each.cost) }))
    .toSorted((left, right) =>
      Number(left.suspended) - Number(right.suspended) ||
      (left.key === right.key ? left.cost - right.cost : left.key - right.key)
    )
    .map(({ endpoint }) => endpoint);
}
