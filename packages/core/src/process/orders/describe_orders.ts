/** Describes orders and drains for operators. */
import {
  type ControlState,
  type EndpointName,
  FenceCheck,
  type InstanceName,
  type LogPosition,
  type OrderEntry,
  type PoolName,
} from "../../types/index.ts";
import { findPoolOfEngine, isRegistered } from "../../version/control/index.ts";
import { listUnconfirmed } from "./drain_engine.ts";

/** State of the newest order and of the drain of one engine, for operators. */
export interface OrderDescription {
  readonly engine: EndpointName;
  readonly pool: PoolName;
  /** Log position of the newest order; absent before the first. */
  readonly order?: LogPosition;
  readonly sender?: InstanceName;
  /** Role and models that the order asks for. */
  readonly target?: string;
  readonly isOpen: boolean;
  readonly isDraining: boolean;
  /** Event or instance that the change waits for; absent when there is none. */
  readonly waitsFor?: string;
  /** Result of the newest order; absent while it is open. */
  readonly end?: string;
}

/**
 * Lists engines with a drain or an order: open orders first, then open drains,
 * then by engine name.
 */
export function describeOrders(
  state: ControlState,
): readonly OrderDescription[] {
  const engines = new Set([
    ...Object.keys(state.orders),
    ...Object.keys(state.drains),
  ]);
  return [...engines].map((engine) => describeEngine(state, engine))
    .toSorted((left, right) =>
      Number(right.isOpen) - Number(left.isOpen) ||
      Number(right.isDraining) - Number(left.isDraining) ||
      (left.engine < right.engine ? -1 : 1)
    );
}

function describeEngine(
  state: ControlState,
  engine: EndpointName,
): OrderDescription {
  const order = state.orders[engine];
  const drain = state.drains[engine];
  const isOpen = order !== undefined && !order.closed;
  return {
    engine,
    pool: order?.pool ?? drain?.pool ?? "",
    order: order?.order,
    sender: order?.sender,
    target: order && formatTarget(order),
    isOpen,
    isDraining: drain !== undefined,
    waitsFor: isOpen
      ? describeOpenOrder(state, order)
      : describeDrain(state, engine),
    end: order?.closed &&
      `${order.closed.closing}, ${
        order.closed.reached ? "reached" : "not reached"
      }: ${order.closed.detail}`,
  };
}

function formatTarget({ target, fenceOnly }: OrderEntry): string {
  if (fenceOnly) return "raise number only";
  const models = target.models.map(({ model, version, adapters }) =>
    [`${model}@${version}`, ...adapters].join("+")
  );
  return [target.role, ...models].join(" ");
}

function describeOpenOrder(state: ControlState, order: OrderEntry): string {
  const pool = findPoolOfEngine(state, order.engine);
  const lease = state.leases[order.pool];
  const isCurrent = lease?.epoch === order.epoch && !lease.released;
  if (isCurrent) return `end of the order that ${order.sender} sends`;
  if (pool?.fence_check === FenceCheck.Checked) {
    return "the lease holder to raise the engine's number";
  }
  return isRegistered(state, order.sender)
    ? `result of ${order.sender}, which may still send the order`
    : `proof that the order of ${order.sender}, which is gone, cannot arrive`;
}

function describeDrain(
  state: ControlState,
  engine: EndpointName,
): string | undefined {
  if (!state.drains[engine]) return undefined;
  const unconfirmed = listUnconfirmed(state, engine);
  if (unconfirmed.length === 0) return "requests that the engine still runs";
  return `confirmation by ${unconfirmed.join(", ")}`;
}
