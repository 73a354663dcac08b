/** Appends the records that open and close an order to the control log. */
import { OrderClosing, RecordKind, type RecordOf } from "../../types/index.ts";
import { findOpenOrder } from "../../version/control/index.ts";
import { orderEvents } from "./events.ts";
import type {
  AdmittedOrder,
  EngineChange,
  OrderContext,
  OrderEnd,
} from "./order_types.ts";
import { appendWithRetry } from "./wait_state.ts";

/**
 * Appends the record of an order and reads it back from the state. Undefined
 * when the log did not admit it; such an order must not be sent. Rejects when
 * the append fails; if the record is in the log all the same,
 * `settleOwnOrders` closes the order.
 */
export async function admitOrder(
  change: EngineChange,
  context: OrderContext,
  options: { readonly fenceOnly: boolean },
): Promise<AdmittedOrder | undefined> {
  const { stream, own } = context;
  const { name } = change.engine;
  const admission = { engine: name };
  own.admitting.add(admission);
  try {
    const [order] = await stream.append([buildRecord(change, options)]);
    const open = findOpenOrder(stream.getState(), name);
    if (order === undefined || open?.order !== order) return undefined;
    own.sendStarted.add(order);
    context.logEvent?.(orderEvents.orderOpened, { engine: name, order });
    return { ...change, order, fenceOnly: options.fenceOnly };
  } finally {
    own.admitting.delete(admission);
  }
}

function buildRecord(
  change: EngineChange,
  options: { readonly fenceOnly: boolean },
): RecordOf<RecordKind.OrderOpened> {
  const { pool, engine, epoch, target, version } = change;
  const models = target.models.map((model) => ({
    ...model,
    adapters: [...model.adapters],
  }));
  return {
    kind: RecordKind.OrderOpened,
    pool: pool.name,
    epoch,
    engine: engine.name,
    target: { role: target.role, models },
    version,
    fenceOnly: options.fenceOnly,
  };
}

/**
 * Records the result of an order that this process sent. The record is valid
 * even when the lease has been lost since.
 */
export async function recordEnd(
  order: AdmittedOrder,
  context: OrderContext,
  options: OrderEnd,
): Promise<void> {
  const { engine } = order;
  await appendWithRetry({
    kind: RecordKind.OrderClosed,
    pool: order.pool.name,
    epoch: order.epoch,
    engine: engine.name,
    order: order.order,
    closing: OrderClosing.Result,
    reached: options.reached,
    detail: options.detail,
  }, context);
  context.logEvent?.(orderEvents.orderClosed, {
    engine: engine.name,
    order: order.order,
    reached: options.reached,
    detail: options.detail,
  });
}
