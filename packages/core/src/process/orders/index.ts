/**
 * Changes of engines: an engine is drained, gets an order, and its state is
 * read back.
 */
export {
  confirmDrains,
  type ConfirmDrainsOptions,
  isEngineDrained,
} from "./confirm_drains.ts";
export { describeOrders, type OrderDescription } from "./describe_orders.ts";
export {
  closeDrain,
  confirmTimeoutMs,
  listUnconfirmed,
} from "./drain_engine.ts";
export { orderEvents } from "./events.ts";
export { orderTransitLimitMs, tryFetchState } from "./poll_order.ts";
export { changeEngine } from "./change_engine.ts";
export {
  type ChangeEnd,
  ChangeStatus,
  createOwnOrders,
  type EngineChange,
  isSameTarget,
  type LeasedPool,
  type OrderContext,
  type OwnOrders,
  type PoolLease,
} from "./order_types.ts";
export { settleOpenOrder } from "./settle_order.ts";
export {
  settleOwnOrders,
  type SettleOwnOrdersOptions,
} from "./settle_own_orders.ts";
export {
  missingTimeoutMs,
  recordStoppedInstances,
  type RecordStoppedInstancesOptions,
} from "./record_stopped_instances.ts";
