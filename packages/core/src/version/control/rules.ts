/**
 * Rules by which every reader of the control stream counts or voids a record.
 * The model in `spec/` uses the same names. Each rule looks at the state before
 * the record and at the record, never at a clock.
 */
import {
  type BundlePool,
  BundleRejection,
  type ControlState,
  type EndpointName,
  FenceCheck,
  type InstanceName,
  type LogPosition,
  OrderClosing,
  type OrderEntry,
  type PoolName,
  type RecordKind,
  type RecordOf,
  type SignedBundle,
} from "../../types/index.ts";
import { getOwn } from "./own_entries.ts";

/** Whether a trusted key signed the bundle; the same at every reader. */
export type VerifySignature = (signed: SignedBundle) => boolean;

/** A record of one kind where it stands in the stream. */
export interface Placed<K extends RecordKind> {
  readonly position: LogPosition;
  readonly writer: InstanceName;
  readonly timeMs: number;
  readonly record: RecordOf<K>;
}

/** Version in force; 0 before the first bundle. */
export function getVersionInForce(state: ControlState): number {
  return state.bundle?.signed.bundle.version ?? 0;
}

/** Pool of an engine by the bundle in force; undefined when it lists none. */
export function findPoolOfEngine(
  state: ControlState,
  engine: EndpointName,
): BundlePool | undefined {
  return state.bundle?.signed.bundle.pools.find((pool) =>
    pool.engines.some((listed) => listed.name === engine)
  );
}

/** Why a bundle is not accepted; undefined when it is. */
export function findBundleRejection(
  state: ControlState,
  signed: SignedBundle,
  options: { readonly verifySignature: VerifySignature },
): BundleRejection | undefined {
  const { version, parent } = signed.bundle;
  if (parent !== getVersionInForce(state)) return BundleRejection.StaleParent;
  if (version !== parent + 1) return BundleRejection.WrongVersion;
  if (!options.verifySignature(signed)) return BundleRejection.BadSignature;
  return undefined;
}

/** Whether a process is registered: started and neither stopped nor replaced. */
export function isRegistered(
  state: ControlState,
  instance: InstanceName,
): boolean {
  return Object.hasOwn(state.instances, instance);
}

/**
 * Whether a claim wins: it names the newest claim or renewal before it, and its
 * holder is registered. So a holder that was heard of after the claimant looked
 * keeps its lease. Position 0 is no epoch.
 */
export function canClaimLease(
  state: ControlState,
  claim: Placed<RecordKind.LeaseClaimed>,
): boolean {
  const { pool, holder, replaces } = claim.record;
  const newest = getOwn(state.leases, pool)?.renewed ?? 0;
  return claim.position > 0 && replaces === newest &&
    isRegistered(state, holder);
}

/** Whether an epoch is the current one of a pool and is not released. */
export function isEpochCurrent(
  state: ControlState,
  pool: PoolName,
  { epoch }: { readonly epoch: LogPosition },
): boolean {
  const lease = getOwn(state.leases, pool);
  return lease !== undefined && lease.epoch === epoch && !lease.released;
}

/** Whether an engine is marked as draining under the current epoch. */
export function isDraining(
  state: ControlState,
  engine: EndpointName,
  { epoch }: { readonly epoch: LogPosition },
): boolean {
  return getOwn(state.drains, engine)?.epoch === epoch;
}

/** The open order of an engine; undefined when its newest one is closed. */
export function findOpenOrder(
  state: ControlState,
  engine: EndpointName,
): OrderEntry | undefined {
  const order = getOwn(state.orders, engine);
  return order?.closed ? undefined : order;
}

/**
 * Whether an order is admitted: under the current epoch, by a registered
 * holder, under the bundle in force, for an engine of the pool, and with no
 * other order open. On engines that check numbers an order that only raises
 * the number may take the place of an open one. Any other order needs a drain.
 */
export function canOpenOrder(
  state: ControlState,
  order: Placed<RecordKind.OrderOpened>,
): boolean {
  const { pool, epoch, engine, version, fenceOnly } = order.record;
  const listed = findPoolOfEngine(state, engine);
  if (listed?.name !== pool) return false;
  if (!isEpochCurrent(state, pool, { epoch })) return false;
  if (!isRegistered(state, getOwn(state.leases, pool)?.holder ?? "")) {
    return false;
  }
  if (version !== getVersionInForce(state)) return false;
  if (fenceOnly) return listed.fence_check === FenceCheck.Checked;
  if (findOpenOrder(state, engine)) return false;
  return isDraining(state, engine, { epoch });
}

/** Whether a record closes the open order of its engine. */
export function canCloseOrder(
  state: ControlState,
  closing: Placed<RecordKind.OrderClosed>,
): boolean {
  const { pool, epoch, engine, order } = closing.record;
  const open = findOpenOrder(state, engine);
  if (!open || open.order !== order || open.pool !== pool) return false;
  if (!isReached(open, closing)) return false;
  if (isSendersResult(open, closing)) return true;
  if (!isEpochCurrent(state, pool, { epoch })) return false;
  switch (closing.record.closing) {
    case OrderClosing.Result:
      return false;
    case OrderClosing.Observed:
      return true;
    case OrderClosing.Fenced:
      return findPoolOfEngine(state, engine)?.fence_check ===
        FenceCheck.Checked;
    case OrderClosing.SenderGone:
      return !isRegistered(state, open.sender);
  }
}

/**
 * Whether an order may end as it did. One that raises the number stands for
 * the open order whose place it took, so it ends only once the engine has it.
 */
export function isReached(
  open: OrderEntry,
  closing: Placed<RecordKind.OrderClosed>,
): boolean {
  return !open.fenceOnly || closing.record.reached;
}

/**
 * Whether the sender itself reports the end of its order. This counts after
 * its epoch has passed too: it is the only record of a deposed holder that
 * does, because nothing but the end of its own sending follows from it.
 */
export function isSendersResult(
  open: OrderEntry,
  closing: Placed<RecordKind.OrderClosed>,
): boolean {
  return closing.record.closing === OrderClosing.Result &&
    closing.record.epoch === open.epoch && closing.writer === open.sender;
}

/** Whether an instance confirms the drain that is open. */
export function canConfirmDrain(
  state: ControlState,
  confirmation: Placed<RecordKind.DrainConfirmed>,
): boolean {
  const { engine, drain, instance } = confirmation.record;
  return getOwn(state.drains, engine)?.drain === drain &&
    confirmation.writer === instance && isRegistered(state, instance);
}
