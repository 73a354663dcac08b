/** Polls an engine for the end of an order. */
import { waitFor } from "../../shared/index.ts";
import {
  type EngineClient,
  type EngineState,
  type LogPosition,
  OrderProgress,
} from "../../types/index.ts";
import {
  type AdmittedOrder,
  isSameTarget,
  type OrderEnd,
} from "./order_types.ts";

/**
 * Longest time after the end of its connection in which an order can still
 * arrive at the engine, in ms. For engines that ignore fencing numbers, the
 * safety of later orders depends on this bound.
 */
export const orderTransitLimitMs = 60_000;
const pollIntervalMs = 250;

/** Phase of an order as its engine reports it. */
export enum OrderPhase {
  /** The engine reports another order or none. */
  Absent = "absent",
  Running = "running",
  Ended = "ended",
}

/** Derives the phase of an order from the state of its engine. */
export function deriveOrderPhase(
  state: EngineState,
  order: LogPosition,
): OrderPhase {
  if (state.order !== order) return OrderPhase.Absent;
  return state.progress === OrderProgress.Running
    ? OrderPhase.Running
    : OrderPhase.Ended;
}

/**
 * Polls the engine's state until the order has ended there or can no longer
 * arrive. Undefined when the signal aborts or when another lease holder has
 * closed or replaced the order.
 */
export async function pollOrderEnd(
  order: AdmittedOrder,
  client: EngineClient,
  options: {
    /**
     * Time at which the order's connection ended, on the monotonic clock in
     * ms; undefined when the engine has accepted the order.
     */
    readonly connectionEndMs: number | undefined;
    /** Whether the order is still the open one of its engine. */
    readonly isOpen: () => boolean;
    readonly signal: AbortSignal;
  },
): Promise<OrderEnd | undefined> {
  let hasArrived = options.connectionEndMs === undefined;
  while (!options.signal.aborted && options.isOpen()) {
    const readMs = performance.now();
    const state = await tryFetchState(client, options);
    const phase = state && deriveOrderPhase(state, order.order);
    if (state && phase === OrderPhase.Ended) return buildEnd(order, state);
    if (phase === OrderPhase.Running) hasArrived = true;
    if (state && phase === OrderPhase.Absent) {
      if (hasArrived) return buildRestartEnd(order, state);
      if (readMs > (options.connectionEndMs ?? 0) + orderTransitLimitMs) {
        return { reached: false, detail: "the order never arrived" };
      }
    }
    await waitFor(pollIntervalMs, options.signal);
  }
  return undefined;
}

/** Reads an engine's state; undefined when the read fails. */
export async function tryFetchState(
  client: EngineClient,
  options: { readonly signal: AbortSignal },
): Promise<EngineState | undefined> {
  try {
    return await client.fetchState(options.signal);
  } catch {
    return undefined;
  }
}

/** Builds the end of an order from the state in which its engine reports it as ended. */
export function buildEnd(
  order: Pick<AdmittedOrder, "target">,
  state: EngineState,
): OrderEnd {
  const reached = state.progress === OrderProgress.Finished &&
    isSameTarget(state.target, order.target);
  return { reached, detail: `the engine shows ${state.progress}` };
}

function buildRestartEnd(order: AdmittedOrder, state: EngineState): OrderEnd {
  return {
    reached: isSameTarget(state.target, order.target),
    detail: "the engine restarted during the order",
  };
}
