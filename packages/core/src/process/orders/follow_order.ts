/** Follows an order at its engine until its end is known. */
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
 * Longest time that the bytes of an order travel after their connection has
 * ended, in ms. Engines that ignore fencing numbers rest on it.
 */
export const orderFlightMs = 60_000;
const readPauseMs = 250;

/** How an order stands at its engine. */
export enum OrderSight {
  /** The engine shows no sign of the order. */
  Absent = "absent",
  Running = "running",
  Ended = "ended",
}

/** Judges from an engine's state how an order stands there. */
export function compareOrder(
  state: EngineState,
  order: LogPosition,
): OrderSight {
  if (state.order !== order) return OrderSight.Absent;
  return state.progress === OrderProgress.Running
    ? OrderSight.Running
    : OrderSight.Ended;
}

/**
 * Reads the engine's state until the order has ended there, or until the order
 * can no longer arrive: `lastByteMs` is when its connection ended, on the
 * monotonic clock; undefined when the engine has accepted it. Undefined when
 * the signal aborts or another holder settles the order first.
 */
export async function followOrder(
  order: AdmittedOrder,
  client: EngineClient,
  options: {
    readonly lastByteMs: number | undefined;
    /** Whether nobody has closed or replaced the order. */
    readonly isOpen: () => boolean;
    readonly signal: AbortSignal;
  },
): Promise<OrderEnd | undefined> {
  let hasArrived = options.lastByteMs === undefined;
  while (!options.signal.aborted && options.isOpen()) {
    const readMs = performance.now();
    const state = await readState(client, options);
    const sight = state && compareOrder(state, order.order);
    if (state && sight === OrderSight.Ended) return buildEnd(order, state);
    if (sight === OrderSight.Running) hasArrived = true;
    if (state && sight === OrderSight.Absent) {
      if (hasArrived) return buildRestartEnd(order, state);
      if (readMs > (options.lastByteMs ?? 0) + orderFlightMs) {
        return { reached: false, detail: "the order never arrived" };
      }
    }
    await waitFor(readPauseMs, options.signal);
  }
  return undefined;
}

/** Reads an engine's state; undefined while it is silent. */
export async function readState(
  client: EngineClient,
  options: { readonly signal: AbortSignal },
): Promise<EngineState | undefined> {
  try {
    return await client.fetchState(options.signal);
  } catch {
    return undefined;
  }
}

/** End of an order that its engine shows as ended. */
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
