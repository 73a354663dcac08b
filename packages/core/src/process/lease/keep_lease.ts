/**
 * Keeps one pool's lease: claims it, renews it, releases it.
 *
 * The log's order alone decides who holds a lease. Clocks decide only when to
 * try: a follower claims after it has read no renewal for the lease time, and
 * a holder stops on its monotonic clock, counted from when it sent its last
 * confirmed renewal.
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

/** The lease was lost between a decision and its effect. */
export class LeaseLostError extends Error {
  /** Names the pool and the epoch that has passed. */
  constructor(pool: PoolName, epoch: LogPosition) {
    super(`lease of pool ${pool} under epoch ${epoch} is not held`);
    this.name = "LeaseLostError";
  }
}

/** Settings of a lease keeper. */
export interface KeepLeaseOptions {
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

/** One pool's lease as this instance sees it. */
export interface LeaseKeeper {
  /** Whether this instance holds the lease now. Check again after every await. */
  readonly isHeld: () => boolean;
  /** Epoch under which the lease is held; undefined when it is not. */
  readonly getEpoch: () => LogPosition | undefined;
  /** Throws `LeaseLostError` unless the lease is held under this epoch. */
  readonly expectHeld: (epoch: LogPosition) => void;
  /** Releases the lease and ends the task. */
  readonly stop: () => Promise<void>;
}

/** Starts the task of one pool's lease. */
export function keepLease(options: KeepLeaseOptions): LeaseKeeper {
  const { pool, instance, stream } = options;
  const leaseTimeMs = options.leaseTimeMs ?? defaultLeaseTimeMs;
  const random = options.random ?? Math.random;
  const log = options.logEvent ?? logEvent;
  const stopping = new AbortController();
  /** Newest sign of the holder that was read, and when. */
  let seen: LogPosition | undefined;
  let seenMs = performance.now();
  /** When the newest claim or renewal that counted was sent. */
  let confirmedMs = -Infinity;
  let sentMs = -Infinity;
  let heldEpoch: LogPosition | undefined;

  function getEpoch(): LogPosition | undefined {
    const own = findOwnLease();
    if (!own || stopping.signal.aborted) return undefined;
    const heldMs = leaseTimeMs * (1 - driftShare);
    return performance.now() < confirmedMs + heldMs ? own.epoch : undefined;
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
      noteChange();
      await waitFor(checkMs * (0.5 + random()), stopping.signal);
    }
  }

  /** Notes when a new sign of the holder was read. */
  function observeLease(): void {
    const renewed = findLease()?.renewed;
    if (renewed === seen) return;
    seen = renewed;
    seenMs = performance.now();
  }

  function canClaimNow(): boolean {
    if (options.mayClaim && !options.mayClaim()) return false;
    if (!isRegistered(stream.getState(), instance)) return false;
    // Only what was read from the log says that nothing was renewed.
    const readMs = performance.now() - stream.getAgeMs();
    const lease = findLease();
    if (!lease || lease.released) return stream.getAgeMs() < leaseTimeMs;
    return readMs - seenMs >= leaseTimeMs * (1 + driftShare);
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

  /** Appends a claim or a renewal; counts the lease from before the append. */
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

  function noteChange(): void {
    const epoch = getEpoch();
    if (epoch === heldEpoch) return;
    if (epoch !== undefined) log(leaseEvents.leaseTaken, { pool, epoch });
    else log(leaseEvents.leaseLost, { pool, epoch: heldEpoch });
    heldEpoch = epoch;
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
      // From here on `getEpoch` is undefined, before the release is sent.
      stopping.abort();
      await task;
      await releaseLease();
    },
  };
}
