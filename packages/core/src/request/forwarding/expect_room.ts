/** Tells refused callers when room is expected for their turn. */
import { EngineRole, type ListedEndpoint } from "../../types/index.ts";
import type { ExpectedRoom } from "../../process/returns/index.ts";
import { type CallState, getLeftMs, mayContinueAt } from "./attempt.ts";
import type { Placement } from "./place_generation.ts";

/** Time that a call is assumed to take where none is known, in ms. */
const assumedMs = 1_000;

/** Takes the next turn for a place at an endpoint, at least `leastMs` from now; returns the time until then, in ms. */
export function takePlaceTurn(state: CallState, leastMs: number): number {
  const { parts: { capacities }, service, route } = state;
  const endpoints = listTaking(state).filter(({ role }) =>
    role !== EngineRole.Prefill
  );
  const usualMs = capacities.getUsualMs(service, route.name) ?? assumedMs;
  const placesPerMs = endpoints.reduce(
    (sum, endpoint) =>
      sum + endpoint.slots / (usualMs * capacities.getSlowness(endpoint)),
    0,
  );
  return takeTurn(state, {
    firstMs: leastMs,
    gapMs: 1 / (placesPerMs * estimatePart(state, endpoints)),
  });
}

/** Takes the next turn for a prompt like the one placed, at least `leastMs` from now; returns the time until then, in ms. */
export function takePromptTurn(
  state: CallState,
  { engine, computeMs }: Placement,
  { leastMs }: { readonly leastMs: number },
): number {
  const taking = listTaking(state);
  const computing = taking.filter(({ role }) => role === engine.role);
  const part = estimatePart(state, taking);
  return takeTurn(state, {
    firstMs: leastMs,
    gapMs: computeMs / (computing.length * part),
  });
}

function takeTurn(
  state: CallState,
  { firstMs, gapMs }: Omit<ExpectedRoom, "leftMs">,
): number {
  const leftMs = Math.max(getLeftMs(state), 0);
  const room = {
    firstMs,
    gapMs: Number.isFinite(gapMs) ? gapMs : firstMs,
    leftMs,
  };
  return state.parts.returns?.take(state.service, room) ??
    Math.ceil(firstMs);
}

function listTaking(state: CallState): readonly ListedEndpoint[] {
  const { parts, service } = state;
  return parts.endpoints.listAccepting(service).filter((endpoint) =>
    mayContinueAt(state, endpoint) &&
    !parts.endpointTracker.isSuspended(endpoint.name)
  );
}

/** Part of the room at the endpoints that this instance's calls get: the mean of an equal part and that of the calls open now. */
function estimatePart(
  { parts }: CallState,
  endpoints: readonly ListedEndpoint[],
): number {
  const equal = 1 / Math.max(parts.countInstances?.() ?? 1, 1);
  let own = 0;
  let all = 0;
  for (const { name } of endpoints) {
    own += parts.endpointTracker.countOwnCalls(name);
    all += parts.endpointTracker.getLoad(name).calls;
  }
  return all > 0 ? (equal + own / all) / 2 : equal;
}
