/**
 * Replays a recorded control stream by the rules of the model in `spec/`,
 * without the product's fold, so that both can be compared.
 */
import {
  type Bundle,
  checkEntry,
  EntryVerdict,
  FenceCheck,
  foldEntry,
  listRecords,
  type LogEntry,
  OrderClosing,
  type PositionedRecord,
  RecordKind,
  type RecordOf,
  type StreamState,
} from "@trefoildoor/core";

/** An order that the rules admitted. */
export interface ModelOrder {
  readonly engine: string;
  readonly pool: string;
  readonly position: number;
  readonly epoch: number;
  readonly sender: string;
  readonly fenceOnly: boolean;
  /** Position of the record that closed it or took its place. */
  closed?: number;
}

/** Lease of a pool by the rules. */
export interface ModelLease {
  epoch: number;
  newest: number;
  holder: string;
  released: boolean;
}

/** What the rules make of a control stream. */
export interface ModelHistory {
  readonly bundles: Bundle[];
  readonly addresses: Map<string, string>;
  readonly leases: Map<string, ModelLease>;
  readonly drains: Map<string, number>;
  readonly orders: ModelOrder[];
}

/** A record of one kind with its place. */
type Placed<K extends RecordKind> = Omit<PositionedRecord, "record"> & {
  readonly record: RecordOf<K>;
};

/** Replays the entries of a control stream from its first one. */
export function replayModel(entries: readonly LogEntry[]): ModelHistory {
  const history: ModelHistory = {
    bundles: [],
    addresses: new Map(),
    leases: new Map(),
    drains: new Map(),
    orders: [],
  };
  for (const placed of listCountedRecords(entries)) {
    applyRecord(history, placed);
  }
  return history;
}

/** Records of the entries that count, in log order. */
export function listCountedRecords(
  entries: readonly LogEntry[],
): readonly PositionedRecord[] {
  let state: StreamState = { next: 0, groups: [] };
  return entries.flatMap((entry) => {
    const checked = checkEntry(state, entry);
    state = foldEntry(state, checked, { fold: (same) => same });
    return checked.verdict === EntryVerdict.Counted ? listRecords(checked) : [];
  });
}

function applyRecord(history: ModelHistory, placed: PositionedRecord): void {
  const { record } = placed;
  switch (record.kind) {
    case RecordKind.BundlePublished:
      return applyBundle(history, record);
    case RecordKind.InstanceStarted:
      return applyStart(history, record);
    case RecordKind.InstanceStopped:
      return removeInstance(history, record.instance);
    case RecordKind.LeaseClaimed:
      return applyClaim(history, { ...placed, record });
    case RecordKind.LeaseRenewed: {
      const lease = findLease(history, record);
      if (lease) lease.newest = placed.position;
      return;
    }
    case RecordKind.LeaseReleased: {
      const lease = findLease(history, record);
      if (lease) lease.released = true;
      return;
    }
    case RecordKind.DrainOpened:
      if (findLease(history, record)) {
        history.drains.set(record.engine, record.epoch);
      }
      return;
    case RecordKind.DrainClosed:
      if (findLease(history, record)) history.drains.delete(record.engine);
      return;
    case RecordKind.OrderOpened:
      return applyOrder(history, { ...placed, record });
    case RecordKind.OrderClosed:
      return applyClosing(history, { ...placed, record });
  }
}

function applyBundle(
  history: ModelHistory,
  { signed }: RecordOf<RecordKind.BundlePublished>,
): void {
  const inForce = history.bundles.at(-1)?.version ?? 0;
  const { version, parent } = signed.bundle;
  if (parent !== inForce || version !== inForce + 1) return;
  history.bundles.push(signed.bundle);
}

function applyStart(
  history: ModelHistory,
  { instance, peerAddress }: RecordOf<RecordKind.InstanceStarted>,
): void {
  if (history.addresses.has(instance)) return;
  for (const [earlier, address] of [...history.addresses]) {
    if (address === peerAddress) removeInstance(history, earlier);
  }
  history.addresses.set(instance, peerAddress);
}

function removeInstance(history: ModelHistory, instance: string): void {
  history.addresses.delete(instance);
  for (const lease of history.leases.values()) {
    if (lease.holder === instance) lease.released = true;
  }
}

/** The lease of a pool while the epoch is the current one. */
function findLease(
  history: ModelHistory,
  record: { readonly pool: string; readonly epoch: number },
): ModelLease | undefined {
  const lease = history.leases.get(record.pool);
  const isCurrent = lease?.epoch === record.epoch && !lease.released;
  return isCurrent ? lease : undefined;
}

function applyClaim(
  history: ModelHistory,
  { position, record }: Placed<RecordKind.LeaseClaimed>,
): void {
  const newest = history.leases.get(record.pool)?.newest ?? 0;
  if (position === 0 || record.replaces !== newest) return;
  if (!history.addresses.has(record.holder)) return;
  history.leases.set(record.pool, {
    epoch: position,
    newest: position,
    holder: record.holder,
    released: false,
  });
}

function applyOrder(
  history: ModelHistory,
  { position, record }: Placed<RecordKind.OrderOpened>,
): void {
  const { engine, epoch, fenceOnly } = record;
  const lease = findLease(history, record);
  const bundle = history.bundles.at(-1);
  const pool = bundle?.pools.find((each) =>
    each.engines.some(({ name }) => name === engine)
  );
  if (!lease || !history.addresses.has(lease.holder)) return;
  if (pool?.name !== record.pool || record.version !== bundle?.version) return;
  const open = findOpen(history, engine);
  if (fenceOnly && pool.fence_check === FenceCheck.Ignored) return;
  if (!fenceOnly && (open || history.drains.get(engine) !== epoch)) return;
  if (open) open.closed = position;
  const sender = lease.holder;
  history.orders.push({
    engine,
    pool: pool.name,
    position,
    epoch,
    sender,
    fenceOnly,
  });
}

function applyClosing(
  history: ModelHistory,
  { position, writer, record }: Placed<RecordKind.OrderClosed>,
): void {
  const open = findOpen(history, record.engine);
  if (open?.position !== record.order || open.pool !== record.pool) return;
  if (open.fenceOnly && !record.reached) return;
  const isSenders = record.closing === OrderClosing.Result &&
    record.epoch === open.epoch && writer === open.sender;
  const isHolders = findLease(history, record) !== undefined &&
    mayHolderClose(history, { open, closing: record.closing });
  if (isSenders || isHolders) open.closed = position;
}

function mayHolderClose(
  history: ModelHistory,
  options: { readonly open: ModelOrder; readonly closing: OrderClosing },
): boolean {
  const { open, closing } = options;
  if (closing === OrderClosing.Observed) return true;
  if (closing === OrderClosing.SenderGone) {
    return !history.addresses.has(open.sender);
  }
  const pool = history.bundles.at(-1)?.pools.find(({ name }) =>
    name === open.pool
  );
  return closing === OrderClosing.Fenced &&
    pool?.fence_check === FenceCheck.Checked;
}

function findOpen(
  history: ModelHistory,
  engine: string,
): ModelOrder | undefined {
  return history.orders.findLast((order) =>
    order.engine === engine && order.closed === undefined
  );
}
