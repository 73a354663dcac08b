/** Orders to engines as operators see them: open, waiting and why. */
import {
  type ControlState,
  describeOrders,
  type OrderDescription,
} from "@trefoildoor/core";

/** How far an order is. */
export enum OrderStage {
  /** Instances still send the engine work or have some in flight there. */
  Draining = "draining",
  /** Given; its end is not in the log. */
  Open = "open",
  /** Its end depends on a sender that no longer leads the pool. */
  Waiting = "waiting",
  Finished = "finished",
  Failed = "failed",
}

/** One order, or the drain before one. */
export interface OrderRow {
  readonly engine: string;
  readonly pool: string;
  readonly stage: OrderStage;
  /** Fencing number; absent before the order is given. */
  readonly order?: number;
  readonly sender: string;
  readonly target: string;
  readonly version?: number;
  /** What it waits for, or how it ended. */
  readonly reason: string;
}

/** Lists drains and open orders; with `all`, the newest finished ones too. */
export function listOrders(
  state: ControlState,
  options: { readonly all: boolean },
): readonly OrderRow[] {
  return describeOrders(state)
    .filter(({ isOpen, isDraining }) => options.all || isOpen || isDraining)
    .map((description) => createRow(state, description))
    .sort((left, right) => left.engine < right.engine ? -1 : 1);
}

function createRow(
  state: ControlState,
  description: OrderDescription,
): OrderRow {
  const { engine, pool, isOpen, isDraining } = description;
  // The newest order of a drained engine is one that ended before the drain.
  const isBefore = isDraining && !isOpen;
  const order = isBefore ? undefined : state.orders[engine];
  return {
    engine,
    pool,
    stage: getStage(state, description),
    ...(order && { order: order.order, version: order.version }),
    sender: order?.sender ?? state.leases[pool]?.holder ?? "",
    target: order ? description.target ?? "" : "",
    reason: description.waitsFor ?? description.end ?? "",
  };
}

function getStage(
  state: ControlState,
  { engine, pool, isOpen, isDraining }: OrderDescription,
): OrderStage {
  const order = state.orders[engine];
  if (isOpen) {
    const lease = state.leases[pool];
    const isCurrent = lease?.epoch === order?.epoch && !lease?.released;
    return isCurrent ? OrderStage.Open : OrderStage.Waiting;
  }
  if (isDraining) return OrderStage.Draining;
  return order?.closed?.reached ? OrderStage.Finished : OrderStage.Failed;
}
