/** State derived from the control stream; every reader folds the same records to the same state. */
import type { SignedBundle } from "./bundles.ts";
import type { EngineTarget } from "./endpoints.ts";
import type {
  BundleVersion,
  EndpointName,
  FailureDomain,
  InstanceName,
  LogPosition,
  PoolName,
} from "./names.ts";
import type { LogRecord, OrderClosing } from "./records.ts";

/** Why the fold did not accept a published bundle. */
export enum BundleRejection {
  /** Its parent is not the version in force. */
  StaleParent = "stale_parent",
  /** Its version is not its parent's plus one. */
  WrongVersion = "wrong_version",
  /** No trusted key signed it. */
  BadSignature = "bad_signature",
}

/** One published bundle and whether the fold accepted it. */
export interface BundleEntry {
  readonly position: LogPosition;
  readonly timeMs: number;
  readonly version: BundleVersion;
  readonly parent: BundleVersion;
  readonly author: string;
  readonly note: string;
  /** Absent on an accepted bundle. */
  readonly rejection?: BundleRejection;
}

/** The bundle in force. */
export interface BundleInForce {
  readonly position: LogPosition;
  readonly signed: SignedBundle;
}

/** An instance, as described by the record of its start. */
export interface InstanceEntry {
  readonly instance: InstanceName;
  readonly failureDomain: FailureDomain;
  readonly peerAddress: string;
  readonly started: LogPosition;
}

/** The lease of a pool. Its epoch is the position of the winning claim. */
export interface LeaseEntry {
  readonly pool: PoolName;
  readonly epoch: LogPosition;
  readonly holder: InstanceName;
  /** Position of the newest valid claim or renewal. */
  readonly renewed: LogPosition;
  readonly released: boolean;
}

/** A drain: the engine gets no new work, in preparation for an order. */
export interface DrainEntry {
  readonly engine: EndpointName;
  readonly pool: PoolName;
  readonly epoch: LogPosition;
  readonly drain: LogPosition;
  /** Instances that have stopped sending to the engine and have no requests in flight there. */
  readonly confirmed: readonly InstanceName[];
}

/** The newest admitted order of an engine. */
export interface OrderEntry {
  readonly engine: EndpointName;
  readonly pool: PoolName;
  readonly epoch: LogPosition;
  /** Position of the order's record, which is its fencing number. */
  readonly order: LogPosition;
  readonly sender: InstanceName;
  readonly target: EngineTarget;
  readonly version: BundleVersion;
  readonly fenceOnly: boolean;
  /** Absent while the order is open. */
  readonly closed?: {
    readonly closing: OrderClosing;
    readonly reached: boolean;
    readonly detail: string;
    readonly position: LogPosition;
  };
}

/** A rollout that the pool's lease holder stopped. */
export interface RolloutHalt {
  readonly pool: PoolName;
  readonly version: BundleVersion;
  readonly reason: string;
}

/** State of the control stream at one position; plain JSON data, so that a checkpoint can store it. */
export interface ControlState {
  /** First position that the state does not cover. */
  readonly next: LogPosition;
  readonly bundle?: BundleInForce;
  /** Most recently published bundles, newest last; bounded by count. */
  readonly history: readonly BundleEntry[];
  readonly instances: Readonly<Record<InstanceName, InstanceEntry>>;
  readonly leases: Readonly<Record<PoolName, LeaseEntry>>;
  readonly drains: Readonly<Record<EndpointName, DrainEntry>>;
  readonly orders: Readonly<Record<EndpointName, OrderEntry>>;
  readonly halts: Readonly<Record<PoolName, RolloutHalt>>;
  /** Ids of groups that were folded, oldest first, bounded by count. */
  readonly groups: readonly string[];
}

/** A node's view of a stream: its folded state, and appends confirmed by reading them back. */
export interface FollowedStream<S> {
  /** State at the newest folded position. */
  readonly getState: () => S;
  /**
   * Age of the state in ms: time since the start of the last read
   * that reached the stream's end. Infinity before the first.
   */
  readonly getAgeMs: () => number;
  /**
   * Appends records and resolves to their positions once this node has read
   * them back and folded them. Rejects with `RemoteError`: `Effect.None` only
   * when they are certainly not in the log and never will be.
   */
  readonly append: (
    records: readonly LogRecord[],
  ) => Promise<readonly LogPosition[]>;
  /** Calls the listener after each change of state; returns its removal. */
  readonly onChange: (listener: (state: S) => void) => () => void;
}
