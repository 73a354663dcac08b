/**
 * Rules that decide whether a record of the control stream is valid. The model
 * in `spec/` uses the same names. Each rule depends only on the record and on
 * the state before it, never on a clock, so that all readers decide alike.
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

/**
 * Whether a trusted key signed the bundle; must give the same result at every
 * reader.
 */
export type VerifySignature = (signed: SignedBundle) => boolean;

/** A record of one kind with its position, writer and time in the stream. */
export interface PositionedRecordOf<K extends RecordKind> {
  readonly position: LogPosition;
  readonly writer: InstanceName;
  readonly timeMs: number;
  readonly record: RecordOf<K>;
}

/** Version in force; 0 before the first bundle. */
export function getVersionInForce(state: ControlState): number {
  return state.bundle?.signed.bundle.version ?? 0;
}

/**
 * Pool of an engine in the bundle in force; undefined when the bundle does not
 * list the engine.
 */
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
 * Whether a lease claim is valid: `replaces` is the position of the pool's
 * newest claim or renewal, and the claimant is registered. So a claim fails if
 * the holder renewed after the claimant read the stream. Position 0 is not a
 * valid epoch.
 */
export function canClaimLease(
  state: ControlState,
  claim: PositionedRecordOf<RecordKind.LeaseClaimed>,
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
 * Whether an order is valid: under the current epoch, by a registered holder,
 * under the bundle in force, for an engine of the pool, with no other order
 * open and with the engine draining. An order that only raises the fencing
 * number needs an engine that checks fencing numbers, but no drain, and may
 * replace an open order.
 */
export function canOpenOrder(
  state: ControlState,
  order: PositionedRecordOf<RecordKind.OrderOpened>,
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

/** Whether a record validly closes the open order of its engine. */
export function canCloseOrder(
  state: ControlState,
  closing: PositionedRecordOf<RecordKind.OrderClosed>,
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
 * Whether the order may be closed by this record. An order that only raises the
 * fencing number may have replaced an open order, so it is closed only once
 * the engine has the number.
 */
export function isReached(
  open: OrderEntry,
  closing: PositionedRecordOf<RecordKind.OrderClosed>,
): boolean {
  return !open.fenceOnly || closing.record.reached;
}

/**
 * Whether the sender itself reports the result of its order. This is the only
 * record of a former lease holder that is valid after its epoch, because it
 * states only that the holder has stopped sending.
 */
export function isSendersResult(
  open: OrderEntry,
  closing: PositionedRecordOf<RecordKind.OrderClosed>,
): boolean {
  return closing.record.closing === OrderClosing.Result &&
    closing.record.epoch === open.epoch && closing.writer === open.sender;
}

/**
 * Whether a drain confirmation is valid: a registered instance confirms the
 * engine's open drain for itself.
 */
export function canConfirmDrain(
  state: ControlState,
  confirmation: PositionedRecordOf<RecordKind.DrainConfirmed>,
): boolean {
  const { engine, drain, instance } = confirmation.record;
  return getOwn(state.drains, engine)?.drain === drain &&
    confirmation.writer === instance && isRegistered(state, instance);
}
