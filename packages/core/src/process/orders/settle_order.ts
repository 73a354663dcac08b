/**
 * Settles the open order that an earlier sender left at an engine, by the
 * engine's fencing number if the engine checks it, else by its state and the
 * registration of the sender.
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
  deriveOrderPhase,
  OrderPhase,
  orderTransitLimitMs,
  tryFetchState,
} from "./poll_order.ts";
import { admitOrder, recordEnd } from "./admit_order.ts";
import type { EngineChange, OrderContext, OrderEnd } from "./order_types.ts";
import { sendOrder } from "./send_order.ts";

/** Longest time that a change retries to settle an earlier order, in ms. */
const settleTimeoutMs = 30_000;
const pollIntervalMs = 250;

/**
 * Settles the open order of an engine. Resolves to undefined once the engine
 * has none, else to the reason why the order is still open. Throws when the
 * lease is lost or the log fails.
 */
export async function settleOpenOrder(
  change: EngineChange,
  context: OrderContext,
): Promise<string | undefined> {
  const settle = change.pool.fence_check === FenceCheck.Checked
    ? settleByFencing
    : settleWithoutFencing;
  const endMs = performance.now() + settleTimeoutMs;
  let reason: string | undefined;
  while (performance.now() < endMs && !context.signal.aborted) {
    context.lease.expectHeld(change.epoch);
    const open = findOpenOrder(context.stream.getState(), change.engine.name);
    if (!open) return undefined;
    reason = await settle(change, context, { open });
    if (reason === undefined) return undefined;
    await waitFor(pollIntervalMs, context.signal);
  }
  const { name } = change.engine;
  context.logEvent?.(orderEvents.orderWaiting, { engine: name, reason });
  return reason ?? "the instance stops";
}

/**
 * Raises the engine's fencing number by an order that changes nothing else, so
 * that the engine refuses the earlier order from then on, and waits until the
 * engine runs no order.
 */
async function settleByFencing(
  change: EngineChange,
  context: OrderContext,
  options: { readonly open: OrderEntry },
): Promise<string | undefined> {
  const client = context.openEngine(change.engine);
  const state = await tryFetchState(client, context);
  if (!state) return "the engine does not answer";
  context.lease.expectHeld(change.epoch);
  const order = await admitOrder({ ...change, target: state.target }, context, {
    fenceOnly: true,
  });
  if (!order) return "the log did not admit the order that raises the number";
  const raised = await sendOrder(order, context);
  if (!raised?.reached) return raised?.detail ?? "the instance stops";
  const left = await waitUntilNotRunning(change, context);
  if (!left) return "the engine still runs an earlier order";
  context.lease.expectHeld(change.epoch);
  const { order: earlier } = options.open;
  await recordEnd(order, context, {
    reached: true,
    detail: `raised above order ${earlier}, engine shows ${left.progress}`,
  });
  return undefined;
}

/** Resolves to the engine's state; undefined after the timeout or an abort. */
async function waitUntilNotRunning(
  change: EngineChange,
  context: OrderContext,
): Promise<EngineState | undefined> {
  const client = context.openEngine(change.engine);
  const endMs = performance.now() + settleTimeoutMs;
  while (performance.now() < endMs && !context.signal.aborted) {
    context.lease.expectHeld(change.epoch);
    const state = await tryFetchState(client, context);
    const phase = state && deriveOrderPhase(state, state.order);
    if (phase === OrderPhase.Ended || phase === OrderPhase.Absent) return state;
    await waitFor(pollIntervalMs, context.signal);
  }
  return undefined;
}

/**
 * Closes the earlier order once it cannot run any more: the engine reports its
 * end, or its sender has stopped and the order did not arrive within
 * `orderTransitLimitMs`.
 */
async function settleWithoutFencing(
  change: EngineChange,
  context: OrderContext,
  options: { readonly open: OrderEntry },
): Promise<string | undefined> {
  const { open } = options;
  const client = context.openEngine(change.engine);
  const state = await tryFetchState(client, context);
  if (!state) return "the engine does not answer";
  context.lease.expectHeld(change.epoch);
  const phase = deriveOrderPhase(state, open.order);
  if (phase === OrderPhase.Running) return "the engine runs the earlier order";
  if (phase === OrderPhase.Ended) {
    return await closeOrder(change, context, {
      open,
      closing: OrderClosing.Observed,
      end: buildEnd(open, state),
    });
  }
  if (isRegistered(context.stream.getState(), open.sender)) {
    return `${open.sender} may still send order ${open.order}`;
  }
  return await closeAfterTransit(change, context, { open });
}

/** Closes the order of a stopped sender if it has not arrived after `orderTransitLimitMs`. */
async function closeAfterTransit(
  change: EngineChange,
  context: OrderContext,
  options: { readonly open: OrderEntry },
): Promise<string | undefined> {
  const { open } = options;
  const client = context.openEngine(change.engine);
  await waitFor(orderTransitLimitMs, context.signal);
  context.lease.expectHeld(change.epoch);
  const state = await tryFetchState(client, context);
  if (!state) return "the engine does not answer";
  // If the order has arrived in the meantime, the next attempt settles it.
  if (deriveOrderPhase(state, open.order) !== OrderPhase.Absent) {
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
  const left = findOpenOrder(
    context.stream.getState(),
    change.engine.name,
  );
  return left ? `order ${left.order} is open` : undefined;
}
