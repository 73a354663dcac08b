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
export { closeDrain, listUnconfirmed, silentLimitMs } from "./drain_engine.ts";
export { orderEvents } from "./events.ts";
export { orderFlightMs, readState } from "./poll_order.ts";
export { orderEngine } from "./order_engine.ts";
export {
  type ChangeEnd,
  ChangeStatus,
  createOwnOrders,
  type EngineChange,
  type HeldPool,
  isSameTarget,
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
  missingLimitMs,
  stopGoneInstances,
  type StopGoneInstancesOptions,
} from "./stop_gone_instances.ts";
