/**
 * Fold of the control stream: bundles, instances, leases, drains, orders and
 * halts. Readers that have read the same records have the same state.
 */
import {
  type BundleEntry,
  type ControlState,
  type DrainEntry,
  type InstanceName,
  type LeaseEntry,
  type OrderEntry,
  type PositionedRecord,
  RecordKind,
} from "../../types/index.ts";
import { filterOwn, getOwn, mapOwn, removeOwn, setOwn } from "./own_entries.ts";
import {
  canClaimLease,
  canCloseOrder,
  canConfirmDrain,
  canOpenOrder,
  findBundleRejection,
  isEpochCurrent,
  type PositionedRecordOf,
  type VerifySignature,
} from "./rules.ts";

const maxHistoryEntries = 64;

/** The signature check that the fold applies to each published bundle. */
export interface FoldControlOptions {
  readonly verifySignature: VerifySignature;
}

/** State before the first record. */
export const emptyControlState: ControlState = {
  next: 0,
  history: [],
  instances: {},
  leases: {},
  drains: {},
  orders: {},
  halts: {},
  groups: [],
};

/**
 * Folds one record. A record before `next` is skipped; an invalid one only
 * advances `next`.
 */
export function foldControl(
  state: ControlState,
  entry: PositionedRecord,
  options: FoldControlOptions,
): ControlState {
  if (entry.position < state.next) return state;
  const folded = foldRecord(state, entry, options);
  return { ...folded, next: entry.position + 1 };
}

function foldRecord(
  state: ControlState,
  entry: PositionedRecord,
  options: FoldControlOptions,
): ControlState {
  const { position, writer, timeMs, record } = entry;
  const metadata = { position, writer, timeMs };
  switch (record.kind) {
    case RecordKind.InstanceStarted:
      return foldInstanceStarted(state, { ...metadata, record });
    case RecordKind.InstanceStopped:
      return removeInstance(state, record.instance);
    case RecordKind.BundlePublished:
      return foldBundlePublished(state, { ...metadata, record }, options);
    case RecordKind.LeaseClaimed:
      return foldLeaseClaimed(state, { ...metadata, record });
    case RecordKind.LeaseRenewed:
      return foldLeaseRenewed(state, { ...metadata, record });
    case RecordKind.LeaseReleased:
      return foldLeaseReleased(state, { ...metadata, record });
    case RecordKind.DrainOpened:
      return foldDrainOpened(state, { ...metadata, record });
    case RecordKind.DrainConfirmed:
      return foldDrainConfirmed(state, { ...metadata, record });
    case RecordKind.DrainClosed:
      return foldDrainClosed(state, { ...metadata, record });
    case RecordKind.OrderOpened:
      return foldOrderOpened(state, { ...metadata, record });
    case RecordKind.OrderClosed:
      return foldOrderClosed(state, { ...metadata, record });
    case RecordKind.RolloutHalted:
      return foldRolloutHalted(state, { ...metadata, record });
    case RecordKind.RolloutResumed:
      return foldRolloutResumed(state, { ...metadata, record });
    default:
      return state;
  }
}

/**
 * Registers an instance. An earlier instance at the same peer address is
 * removed, since the start proves that its process has ended.
 */
function foldInstanceStarted(
  state: ControlState,
  { position, record }: PositionedRecordOf<RecordKind.InstanceStarted>,
): ControlState {
  const { instance, failureDomain, peerAddress } = record;
  if (getOwn(state.instances, instance)) return state;
  const replaced = Object.values(state.instances).filter((earlier) =>
    earlier.peerAddress === peerAddress
  );
  const cleared = replaced.reduce(
    (current, earlier) => removeInstance(current, earlier.instance),
    state,
  );
  const started = { instance, failureDomain, peerAddress, started: position };
  const instances = setOwn(cleared.instances, instance, { value: started });
  return { ...cleared, instances };
}

/**
 * Removes an instance that has ended and its drain confirmations, and releases
 * its leases.
 */
function removeInstance(
  state: ControlState,
  instance: InstanceName,
): ControlState {
  if (!getOwn(state.instances, instance)) return state;
  const instances = removeOwn(state.instances, instance);
  const leases = mapOwn(
    state.leases,
    (lease) => lease.holder === instance ? { ...lease, released: true } : lease,
  );
  const drains = mapOwn(state.drains, (drain) => ({
    ...drain,
    confirmed: drain.confirmed.filter((name) => name !== instance),
  }));
  return { ...state, instances, leases, drains };
}

function foldBundlePublished(
  state: ControlState,
  { position, timeMs, record }: PositionedRecordOf<RecordKind.BundlePublished>,
  options: FoldControlOptions,
): ControlState {
  const { signed } = record;
  const { version, parent, author, note } = signed.bundle;
  const rejection = findBundleRejection(state, signed, options);
  const entry: BundleEntry = {
    position,
    timeMs,
    version,
    parent,
    author,
    note,
    ...(rejection && { rejection }),
  };
  const history = [...state.history, entry].slice(-maxHistoryEntries);
  if (rejection) return { ...state, history };
  return removeUnlisted({ ...state, history, bundle: { position, signed } });
}

/**
 * Removes drains and closed orders of engines that the bundle no longer lists,
 * and halts of earlier versions or unlisted pools. Open orders stay.
 */
function removeUnlisted(state: ControlState): ControlState {
  const pools = state.bundle?.signed.bundle.pools ?? [];
  const names = new Set(pools.map((pool) => pool.name));
  const engines = new Set(
    pools.flatMap((pool) => pool.engines.map((engine) => engine.name)),
  );
  const orders = filterOwn(
    state.orders,
    (order) => !order.closed || engines.has(order.engine),
  );
  const drains = filterOwn(state.drains, (drain) => engines.has(drain.engine));
  const version = state.bundle?.signed.bundle.version ?? 0;
  const halts = filterOwn(
    state.halts,
    (halt) => names.has(halt.pool) && halt.version >= version,
  );
  return { ...state, orders, drains, halts };
}

function foldLeaseClaimed(
  state: ControlState,
  claim: PositionedRecordOf<RecordKind.LeaseClaimed>,
): ControlState {
  if (!canClaimLease(state, claim)) return state;
  const { pool, holder } = claim.record;
  const lease: LeaseEntry = {
    pool,
    epoch: claim.position,
    holder,
    renewed: claim.position,
    released: false,
  };
  return { ...state, leases: setOwn(state.leases, pool, { value: lease }) };
}

function foldLeaseRenewed(
  state: ControlState,
  { position, record }: PositionedRecordOf<RecordKind.LeaseRenewed>,
): ControlState {
  const lease = getOwn(state.leases, record.pool);
  if (!lease || !isEpochCurrent(state, record.pool, record)) return state;
  const renewed = { ...lease, renewed: position };
  return {
    ...state,
    leases: setOwn(state.leases, record.pool, { value: renewed }),
  };
}

function foldLeaseReleased(
  state: ControlState,
  { record }: PositionedRecordOf<RecordKind.LeaseReleased>,
): ControlState {
  const lease = getOwn(state.leases, record.pool);
  if (!lease || !isEpochCurrent(state, record.pool, record)) return state;
  const released = { ...lease, released: true };
  return {
    ...state,
    leases: setOwn(state.leases, record.pool, { value: released }),
  };
}

function foldDrainOpened(
  state: ControlState,
  { position, record }: PositionedRecordOf<RecordKind.DrainOpened>,
): ControlState {
  const { pool, epoch, engine } = record;
  if (!isEpochCurrent(state, pool, record)) return state;
  if (getOwn(state.drains, engine)?.epoch === epoch) return state;
  const drain: DrainEntry = {
    engine,
    pool,
    epoch,
    drain: position,
    confirmed: [],
  };
  return { ...state, drains: setOwn(state.drains, engine, { value: drain }) };
}

function foldDrainConfirmed(
  state: ControlState,
  confirmation: PositionedRecordOf<RecordKind.DrainConfirmed>,
): ControlState {
  const { engine, instance } = confirmation.record;
  const drain = getOwn(state.drains, engine);
  if (!drain || !canConfirmDrain(state, confirmation)) return state;
  if (drain.confirmed.includes(instance)) return state;
  const confirmed = [...drain.confirmed, instance].sort();
  const drains = setOwn(state.drains, engine, {
    value: { ...drain, confirmed },
  });
  return { ...state, drains };
}

function foldDrainClosed(
  state: ControlState,
  { record }: PositionedRecordOf<RecordKind.DrainClosed>,
): ControlState {
  const { pool, engine, drain } = record;
  if (!isEpochCurrent(state, pool, record)) return state;
  const open = getOwn(state.drains, engine);
  if (open?.drain !== drain || open.pool !== pool) return state;
  return { ...state, drains: removeOwn(state.drains, engine) };
}

function foldOrderOpened(
  state: ControlState,
  opened: PositionedRecordOf<RecordKind.OrderOpened>,
): ControlState {
  if (!canOpenOrder(state, opened)) return state;
  const { pool, epoch, engine, target, version, fenceOnly } = opened.record;
  const order: OrderEntry = {
    engine,
    pool,
    epoch,
    order: opened.position,
    sender: getOwn(state.leases, pool)?.holder ?? "",
    target,
    version,
    fenceOnly,
  };
  return { ...state, orders: setOwn(state.orders, engine, { value: order }) };
}

function foldOrderClosed(
  state: ControlState,
  ended: PositionedRecordOf<RecordKind.OrderClosed>,
): ControlState {
  const { engine, closing, reached, detail } = ended.record;
  const open = getOwn(state.orders, engine);
  if (!open || !canCloseOrder(state, ended)) return state;
  const closed = { closing, reached, detail, position: ended.position };
  const orders = setOwn(state.orders, engine, { value: { ...open, closed } });
  return { ...state, orders };
}

function foldRolloutHalted(
  state: ControlState,
  { record }: PositionedRecordOf<RecordKind.RolloutHalted>,
): ControlState {
  const { pool, version, reason } = record;
  if (!isEpochCurrent(state, pool, record)) return state;
  if (version !== state.bundle?.signed.bundle.version) return state;
  const halts = setOwn(state.halts, pool, { value: { pool, version, reason } });
  return { ...state, halts };
}

function foldRolloutResumed(
  state: ControlState,
  { record }: PositionedRecordOf<RecordKind.RolloutResumed>,
): ControlState {
  if (getOwn(state.halts, record.pool)?.version !== record.version) {
    return state;
  }
  return { ...state, halts: removeOwn(state.halts, record.pool) };
}
