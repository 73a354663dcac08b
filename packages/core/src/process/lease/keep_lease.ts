/**
 * Claims, renews and releases the lease of one pool.
 *
 * Only the order of records in the log decides which instance holds a lease.
 * Clocks decide when to act: a follower claims once it has read no renewal for
 * the lease time, and a holder treats its lease as expired by its monotonic
 * clock, counted from when it sent its last confirmed renewal.
 */
import { type LogEvent, logEvent, waitFor } from "../../shared/index.ts";
import {
  type ControlState,
  type FollowedStream,
  type InstanceName,
  type LeaseEntry,
  type LogPosition,
  type LogRecord,
  type PoolName,
  RecordKind,
} from "../../types/index.ts";
import { isRegistered } from "../../version/control/index.ts";
import { leaseEvents } from "./events.ts";

const defaultLeaseTimeMs = 5_000;
const renewalsPerLease = 5;
const checksPerLease = 20;
/** Share of the lease time by which two clocks may drift apart. */
const driftShare = 0.05;

/** The lease is not held, or no longer under the epoch of the decision. */
export class LeaseLostError extends Error {
  /** Takes the epoch under which the caller expected to hold the lease. */
  constructor(pool: PoolName, epoch: LogPosition) {
    super(`lease of pool ${pool} under epoch ${epoch} is not held`);
    this.name = "LeaseLostError";
  }
}

/** Settings of the task that maintains a lease. */
export interface MaintainLeaseOptions {
  readonly pool: PoolName;
  readonly instance: InstanceName;
  readonly stream: FollowedStream<ControlState>;
  /** Whether this instance may claim now; a holder renews regardless. */
  readonly mayClaim?: () => boolean;
  readonly leaseTimeMs?: number;
  /** Random number in [0, 1); spreads the claims of followers. */
  readonly random?: () => number;
  readonly logEvent?: LogEvent;
}

/** State of one pool's lease on this instance. */
export interface LeaseHandle {
  /** Whether this instance holds the lease now. Check again after every await. */
  readonly isHeld: () => boolean;
  /** Epoch under which the lease is held; undefined when it is not. */
  readonly getEpoch: () => LogPosition | undefined;
  /** Throws `LeaseLostError` unless the lease is held under this epoch. */
  readonly expectHeld: (epoch: LogPosition) => void;
  /** Releases the lease and ends the task. */
  readonly stop: () => Promise<void>;
}

/** Starts the task that claims and renews one pool's lease. */
export function maintainLease(options: MaintainLeaseOptions): LeaseHandle {
  const { pool, instance, stream } = options;
  const leaseTimeMs = options.leaseTimeMs ?? defaultLeaseTimeMs;
  const random = options.random ?? Math.random;
  const log = options.logEvent ?? logEvent;
  const stopping = new AbortController();
  /** Newest claim or renewal read from the log, and when it was first read. */
  let lastRenewal: LogPosition | undefined;
  let lastRenewalMs = performance.now();
  /** Send time of the newest confirmed claim or renewal, in ms. */
  let confirmedMs = -Infinity;
  let sentMs = -Infinity;
  let loggedEpoch: LogPosition | undefined;

  function getEpoch(): LogPosition | undefined {
    const own = findOwnLease();
    if (!own || stopping.signal.aborted) return undefined;
    const validMs = leaseTimeMs * (1 - driftShare);
    return performance.now() < confirmedMs + validMs ? own.epoch : undefined;
  }

  function findOwnLease(): LeaseEntry | undefined {
    const lease = findLease();
    return lease?.holder === instance && !lease.released ? lease : undefined;
  }

  function findLease(): LeaseEntry | undefined {
    const { leases } = stream.getState();
    return Object.hasOwn(leases, pool) ? leases[pool] : undefined;
  }

  function expectHeld(epoch: LogPosition): void {
    if (getEpoch() !== epoch) throw new LeaseLostError(pool, epoch);
  }

  async function runLease(): Promise<void> {
    const checkMs = leaseTimeMs / checksPerLease;
    while (!stopping.signal.aborted) {
      observeLease();
      const own = findOwnLease();
      if (own) await renewLease(own);
      else if (canClaimNow()) await claimLease();
      logEpochChange();
      await waitFor(checkMs * (0.5 + random()), stopping.signal);
    }
  }

  /** Records when a new claim or renewal is first read. */
  function observeLease(): void {
    const renewed = findLease()?.renewed;
    if (renewed === lastRenewal) return;
    lastRenewal = renewed;
    lastRenewalMs = performance.now();
  }

  function canClaimNow(): boolean {
    if (options.mayClaim && !options.mayClaim()) return false;
    if (!isRegistered(stream.getState(), instance)) return false;
    // Counts only up to the last read of the log, as a renewal may follow it.
    const readMs = performance.now() - stream.getAgeMs();
    const lease = findLease();
    if (!lease || lease.released) return stream.getAgeMs() < leaseTimeMs;
    return readMs - lastRenewalMs >= leaseTimeMs * (1 + driftShare);
  }

  async function claimLease(): Promise<void> {
    const replaces = findLease()?.renewed ?? 0;
    await appendRecord({
      kind: RecordKind.LeaseClaimed,
      pool,
      holder: instance,
      replaces,
    });
  }

  async function renewLease(own: LeaseEntry): Promise<void> {
    const dueMs = sentMs + leaseTimeMs / renewalsPerLease;
    if (performance.now() < dueMs) return;
    await appendRecord({
      kind: RecordKind.LeaseRenewed,
      pool,
      epoch: own.epoch,
    });
  }

  /** Appends a claim or a renewal; the lease time starts before the append. */
  async function appendRecord(record: LogRecord): Promise<void> {
    const startMs = performance.now();
    sentMs = startMs;
    try {
      const [position] = await stream.append([record]);
      const own = findOwnLease();
      if (position !== undefined && own && own.renewed >= position) {
        confirmedMs = startMs;
      }
    } catch {
      log(leaseEvents.renewalFailed, { pool, kind: record.kind });
    }
  }

  function logEpochChange(): void {
    const epoch = getEpoch();
    if (epoch === loggedEpoch) return;
    if (epoch !== undefined) log(leaseEvents.leaseClaimed, { pool, epoch });
    else log(leaseEvents.leaseLost, { pool, epoch: loggedEpoch });
    loggedEpoch = epoch;
  }

  async function releaseLease(): Promise<void> {
    const own = findOwnLease();
    if (!own) return;
    const record = {
      kind: RecordKind.LeaseReleased,
      pool,
      epoch: own.epoch,
    } as const;
    await stream.append([record]).then(
      () => log(leaseEvents.leaseReleased, { pool, epoch: own.epoch }),
      () => log(leaseEvents.renewalFailed, { pool, kind: record.kind }),
    );
  }

  const task = runLease();
  return {
    isHeld: () => getEpoch() !== undefined,
    getEpoch,
    expectHeld,
    stop: async () => {
      // `getEpoch` returns undefined from here on, before the release is sent.
      stopping.abort();
      await task;
      await releaseLease();
    },
  };
}
