/**
 * Settles the open order that an earlier sender left on an engine. How depends
 * on whether the engine checks fencing numbers.
 */
import { waitFor } from "../../shared/index.ts";
import {
  type EngineState,
  FenceCheck,
  OrderClosing,
  type OrderEntry,
  RecordKind,
} from "../../types/index.ts";
import { findOpenOrder, isRegistered } from "../../version/control/index.ts";
import { orderEvents } from "./events.ts";
import {
  buildEnd,
  compareOrder,
  orderFlightMs,
  OrderSight,
  readState,
} from "./follow_order.ts";
import { admitOrder, recordEnd } from "./admit_order.ts";
import type { EngineChange, OrderContext, OrderEnd } from "./order_types.ts";
import { sendOrder } from "./send_order.ts";

/** Longest time that a change waits for an earlier order, in ms. */
const settleLimitMs = 30_000;
const checkPauseMs = 250;

/**
 * Settles the open order of an engine. Resolves to undefined once the engine
 * has none, else to the reason why it keeps its state. Throws when the lease
 * is lost.
 */
export async function settleOpenOrder(
  change: EngineChange,
  context: OrderContext,
): Promise<string | undefined> {
  const settle = change.pool.fence_check === FenceCheck.Checked
    ? settleByNumber
    : settleByProof;
  const endMs = performance.now() + settleLimitMs;
  let reason: string | undefined;
  while (performance.now() < endMs && !context.signal.aborted) {
    context.lease.expectHeld(change.epoch);
    const open = findOpenOrder(context.stream.getState(), change.engine.name);
    if (!open) return undefined;
    reason = await settle(change, context, { open });
    if (reason === undefined) return undefined;
    await waitFor(checkPauseMs, context.signal);
  }
  const { name } = change.engine;
  context.logEvent?.(orderEvents.orderWaiting, { engine: name, reason });
  return reason ?? "the instance stops";
}

/**
 * Raises the engine's number by an order that changes nothing, so that the
 * earlier order can no longer be accepted, then waits for what runs.
 */
async function settleByNumber(
  change: EngineChange,
  context: OrderContext,
  options: { readonly open: OrderEntry },
): Promise<string | undefined> {
  const client = context.openEngine(change.engine);
  const state = await readState(client, context);
  if (!state) return "the engine does not answer";
  context.lease.expectHeld(change.epoch);
  const order = await admitOrder({ ...change, target: state.target }, context, {
    fenceOnly: true,
  });
  if (!order) return "the log did not admit the order that raises the number";
  const raised = await sendOrder(order, context);
  if (!raised?.reached) return raised?.detail ?? "the instance stops";
  const left = await waitUntilEnded(change, context);
  if (!left) return "the engine still runs an earlier order";
  context.lease.expectHeld(change.epoch);
  const { order: earlier } = options.open;
  await recordEnd(order, context, {
    reached: true,
    detail: `raised above order ${earlier}, engine shows ${left.progress}`,
  });
  return undefined;
}

/** Waits until the engine runs no order; undefined when that takes too long. */
async function waitUntilEnded(
  change: EngineChange,
  context: OrderContext,
): Promise<EngineState | undefined> {
  const client = context.openEngine(change.engine);
  const endMs = performance.now() + settleLimitMs;
  while (performance.now() < endMs && !context.signal.aborted) {
    context.lease.expectHeld(change.epoch);
    const state = await readState(client, context);
    const sight = state && compareOrder(state, state.order);
    if (sight === OrderSight.Ended || sight === OrderSight.Absent) return state;
    await waitFor(checkPauseMs, context.signal);
  }
  return undefined;
}

/**
 * Closes the earlier order once it cannot run any more: the engine shows its
 * end, or its sender is gone and its bytes had the time to arrive.
 */
async function settleByProof(
  change: EngineChange,
  context: OrderContext,
  options: { readonly open: OrderEntry },
): Promise<string | undefined> {
  const { open } = options;
  const client = context.openEngine(change.engine);
  const state = await readState(client, context);
  if (!state) return "the engine does not answer";
  context.lease.expectHeld(change.epoch);
  const sight = compareOrder(state, open.order);
  if (sight === OrderSight.Running) return "the engine runs the earlier order";
  if (sight === OrderSight.Ended) {
    return await closeOrder(change, context, {
      open,
      closing: OrderClosing.Observed,
      end: buildEnd(open, state),
    });
  }
  if (isRegistered(context.stream.getState(), open.sender)) {
    return `${open.sender} may still send order ${open.order}`;
  }
  return await waitForFlight(change, context, { open });
}

/** Closes the order of a sender that is gone once its last bytes must have arrived. */
async function waitForFlight(
  change: EngineChange,
  context: OrderContext,
  options: { readonly open: OrderEntry },
): Promise<string | undefined> {
  const { open } = options;
  const client = context.openEngine(change.engine);
  await waitFor(orderFlightMs, context.signal);
  context.lease.expectHeld(change.epoch);
  const state = await readState(client, context);
  if (!state) return "the engine does not answer";
  // An order that arrived in the meantime is settled by what the engine shows.
  if (compareOrder(state, open.order) !== OrderSight.Absent) {
    return "the engine runs the earlier order";
  }
  context.lease.expectHeld(change.epoch);
  return await closeOrder(change, context, {
    open,
    closing: OrderClosing.SenderGone,
    end: { reached: false, detail: `${open.sender} is gone` },
  });
}

async function closeOrder(
  change: EngineChange,
  context: OrderContext,
  options: {
    readonly open: OrderEntry;
    readonly closing: OrderClosing;
    readonly end: OrderEnd;
  },
): Promise<string | undefined> {
  const { open, closing, end } = options;
  await context.stream.append([{
    kind: RecordKind.OrderClosed,
    pool: change.pool.name,
    epoch: change.epoch,
    engine: change.engine.name,
    order: open.order,
    closing,
    ...end,
  }]);
  const left = findOpenOrder(context.stream.getState(), change.engine.name);
  return left ? `order ${left.order} is open` : undefined;
}
