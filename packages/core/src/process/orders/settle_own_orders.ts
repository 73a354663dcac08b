/** Background task of every instance: closes its own orders that it never sent. */
import { type LogEvent, waitFor } from "../../shared/index.ts";
import {
  type ControlState,
  type FollowedStream,
  type InstanceName,
  OrderClosing,
  type OrderEntry,
  RecordKind,
} from "../../types/index.ts";
import type { OwnOrders } from "./order_types.ts";
import { appendWithRetry } from "./wait_state.ts";

const checkIntervalMs = 1_000;

/** Dependencies of `settleOwnOrders`. */
export interface SettleOwnOrdersOptions {
  readonly instance: InstanceName;
  readonly stream: FollowedStream<ControlState>;
  readonly own: OwnOrders;
  readonly logEvent?: LogEvent;
  readonly signal: AbortSignal;
}

/**
 * Closes orders whose record entered the log although the append had failed
 * here. Only the sender knows that it never sent them, so no other instance can
 * close them while the sender runs. Runs until the signal aborts.
 */
export async function settleOwnOrders(
  options: SettleOwnOrdersOptions,
): Promise<void> {
  while (!options.signal.aborted) {
    for (const order of listUnsent(options)) {
      await appendWithRetry({
        kind: RecordKind.OrderClosed,
        pool: order.pool,
        epoch: order.epoch,
        engine: order.engine,
        order: order.order,
        closing: OrderClosing.Result,
        reached: false,
        detail: "never sent",
      }, options);
    }
    await waitFor(checkIntervalMs, options.signal);
  }
}

function listUnsent(options: SettleOwnOrdersOptions): readonly OrderEntry[] {
  const { instance, stream, own } = options;
  const admitting = new Set([...own.admitting].map(({ engine }) => engine));
  return Object.values(stream.getState().orders).filter((order) =>
    !order.closed && order.sender === instance &&
    !admitting.has(order.engine) && !own.sendStarted.has(order.order)
  );
}
