/** Types of engine changes and their orders, and the comparison of targets. */
import type { LogEvent } from "../../shared/index.ts";
import type {
  BundleEngine,
  BundlePool,
  BundleVersion,
  ControlState,
  EndpointName,
  EngineClient,
  EngineTarget,
  FollowedStream,
  InstanceName,
  LogPosition,
  ReserveWeightLoad,
} from "../../types/index.ts";

/** Lease over a pool, as the control log grants it. */
export interface PoolLease {
  /** Epoch under which the lease is held; undefined when it is not. */
  readonly getEpoch: () => LogPosition | undefined;
  /** Throws unless the lease is held under this epoch. */
  readonly expectHeld: (epoch: LogPosition) => void;
}

/**
 * Orders of this process, held in memory. An open order of this instance in
 * neither set was never sent and is never going to be.
 */
export interface OwnOrders {
  /** Orders whose record is being appended to the log. */
  readonly admitting: Set<{ readonly engine: EndpointName }>;
  /** Orders that were admitted and that this process has started to send. */
  readonly sendStarted: Set<LogPosition>;
}

/** Creates empty sets, for the start of a process. */
export function createOwnOrders(): OwnOrders {
  return { admitting: new Set(), sendStarted: new Set() };
}

/** Dependencies of the changes of a pool's engines. */
export interface OrderContext {
  readonly instance: InstanceName;
  readonly stream: FollowedStream<ControlState>;
  readonly lease: PoolLease;
  readonly openEngine: (engine: BundleEngine) => EngineClient;
  readonly reserveWeightLoad: ReserveWeightLoad;
  /** Shared by all pools of the process, from its start to its end. */
  readonly own: OwnOrders;
  readonly logEvent?: LogEvent;
  /** Aborts when the instance stops. */
  readonly signal: AbortSignal;
}

/** A pool and the epoch under which its lease is held. */
export interface LeasedPool {
  readonly pool: BundlePool;
  readonly epoch: LogPosition;
}

/** A change of one engine, asked for under an epoch of its pool's lease. */
export interface EngineChange extends LeasedPool {
  readonly engine: BundleEngine;
  readonly target: EngineTarget;
  /** Bundle version that asks for the change. */
  readonly version: BundleVersion;
}

/** Status with which a change ends. */
export enum ChangeStatus {
  /** The engine is in its target. */
  Reached = "reached",
  /** The engine refused or failed the order. */
  Failed = "failed",
  /** The change could not start or its end is not known; it may be retried. */
  Waiting = "waiting",
}

/** Status of a change that has ended, with its reason. */
export interface ChangeEnd {
  readonly status: ChangeStatus;
  readonly detail: string;
}

/** An order that the log admitted and that may be sent. */
export interface AdmittedOrder extends EngineChange {
  /** Log position of the order's record, which is also its fencing number. */
  readonly order: LogPosition;
  /** Whether the order only raises the engine's fencing number. */
  readonly fenceOnly: boolean;
}

/** Whether an order brought its engine to the target, with the reason. */
export interface OrderEnd {
  readonly reached: boolean;
  readonly detail: string;
}

/** Whether two targets ask for the same role and models. */
export function isSameTarget(left: EngineTarget, right: EngineTarget): boolean {
  if (left.role !== right.role) return false;
  const leftModels = listModels(left);
  const rightModels = listModels(right);
  return leftModels.length === rightModels.length &&
    leftModels.every((model, index) => model === rightModels[index]);
}

/** Names of the sets of weights that a target loads, sorted. */
export function listModels(target: EngineTarget): readonly string[] {
  return target.models.map((model) =>
    [`${model.model}@${model.version}`, ...model.adapters.toSorted()].join("+")
  ).toSorted();
}
