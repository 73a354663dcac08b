/** Orders to engines as operators see them: open, waiting and why. */
import {
  type Bundle,
  type BundlePool,
  type ControlState,
  type DrainEntry,
  FenceCheck,
  type LeaseEntry,
  OrderClosing,
  type OrderEntry,
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
  const orders = Object.values(state.orders).map((order) =>
    describeOrder(state, order)
  );
  const open = orders.filter(({ stage }) =>
    stage === OrderStage.Open || stage === OrderStage.Waiting
  );
  const engines = new Set(open.map(({ engine }) => engine));
  const drains = Object.values(state.drains)
    .filter(({ engine }) => !engines.has(engine))
    .map((drain) => describeDrain(state, drain));
  const shown = options.all ? orders : open;
  return [...drains, ...shown].sort((left, right) =>
    left.engine < right.engine ? -1 : 1
  );
}

/** Describes one order in the words of its pool's rules. */
export function describeOrder(
  state: ControlState,
  order: OrderEntry,
): OrderRow {
  return {
    engine: order.engine,
    pool: order.pool,
    ...describeStage(state, order),
    order: order.order,
    sender: order.sender,
    target: order.fenceOnly ? "raise the number" : formatTarget(order),
    version: order.version,
  };
}

function describeStage(
  state: ControlState,
  order: OrderEntry,
): Pick<OrderRow, "stage" | "reason"> {
  const { closed } = order;
  if (closed) {
    const stage = closed.reached ? OrderStage.Finished : OrderStage.Failed;
    const detail = closed.detail ? `: ${closed.detail}` : "";
    return { stage, reason: closingTexts[closed.closing] + detail };
  }
  const lease = state.leases[order.pool];
  if (isLeader(lease, order)) {
    return { stage: OrderStage.Open, reason: "the engine is at work on it" };
  }
  return { stage: OrderStage.Waiting, reason: describeWait(state, order) };
}

const closingTexts: Readonly<Record<OrderClosing, string>> = {
  [OrderClosing.Result]: "its sender saw the end",
  [OrderClosing.Observed]: "a later lease holder read the end from the engine",
  [OrderClosing.Fenced]: "fenced before it arrived",
  [OrderClosing.SenderGone]: "its sender is gone and it never arrived",
};

function isLeader(lease: LeaseEntry | undefined, order: OrderEntry): boolean {
  return lease !== undefined && lease.epoch === order.epoch && !lease.released;
}

function describeWait(state: ControlState, order: OrderEntry): string {
  const pool = findPool(state.bundle?.signed.bundle, order.pool);
  if (pool?.fence_check === FenceCheck.Checked) {
    return "the new lease holder raises the engine's number first";
  }
  const isLive = Object.hasOwn(state.instances, order.sender);
  return isLive
    ? `the engine ignores numbers: ${order.sender} must report the end or stop`
    : "the engine ignores numbers: its state is read back before the next order";
}

function describeDrain(state: ControlState, drain: DrainEntry): OrderRow {
  const missing = Object.keys(state.instances).filter((instance) =>
    !drain.confirmed.includes(instance)
  );
  return {
    engine: drain.engine,
    pool: drain.pool,
    stage: OrderStage.Draining,
    sender: state.leases[drain.pool]?.holder ?? "",
    target: "",
    reason: missing.length === 0
      ? "all instances confirmed; the engine finishes its work"
      : `not confirmed by ${missing.join(", ")}`,
  };
}

function formatTarget({ target }: OrderEntry): string {
  const models = target.models.map(({ model, version, adapters }) =>
    [`${model}@${version}`, ...adapters].join("+")
  );
  return [target.role, ...models].join(" ");
}

function findPool(
  bundle: Bundle | undefined,
  name: string,
): BundlePool | undefined {
  return bundle?.pools.find((pool) => pool.name === name);
}
