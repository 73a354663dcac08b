/** Types of changes of engines. */
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

/** Authority over a pool, decided by the log. */
export interface PoolLease {
  /** Epoch under which the lease is held; undefined when it is not. */
  readonly getEpoch: () => LogPosition | undefined;
  /** Throws unless the lease is held under this epoch. */
  readonly expectHeld: (epoch: LogPosition) => void;
}

/**
 * What a process knows of its own orders: an open one that it neither is
 * admitting nor has begun to send was never sent, and never will be.
 */
export interface OwnOrders {
  /** Records of orders that are on their way. */
  readonly admitting: Set<{ readonly engine: EndpointName }>;
  /** Orders that this process has begun to send. */
  readonly begun: Set<LogPosition>;
}

/** Creates the memory of a process that has sent no order. */
export function createOwnOrders(): OwnOrders {
  return { admitting: new Set(), begun: new Set() };
}

/** What changes of a pool's engines need. */
export interface OrderContext {
  readonly instance: InstanceName;
  readonly stream: FollowedStream<ControlState>;
  readonly lease: PoolLease;
  readonly openEngine: (engine: BundleEngine) => EngineClient;
  readonly reserveWeightLoad: ReserveWeightLoad;
  /** One object for the life of the process, shared by all its pools. */
  readonly own: OwnOrders;
  readonly logEvent?: LogEvent;
  /** Aborts when the instance stops. */
  readonly signal: AbortSignal;
}

/** A pool under one epoch of its lease. */
export interface HeldPool {
  readonly pool: BundlePool;
  readonly epoch: LogPosition;
}

/** An engine to be changed under an epoch. */
export interface EngineChange extends HeldPool {
  readonly engine: BundleEngine;
  readonly target: EngineTarget;
  /** Bundle version that asks for the change. */
  readonly version: BundleVersion;
}

/** How a change ended. */
export enum ChangeStatus {
  /** The engine is in its target. */
  Reached = "reached",
  /** The engine refused or failed the order. */
  Failed = "failed",
  /** The change could not begin or its end is not known; it may be tried again. */
  Waiting = "waiting",
}

/** End of a change. */
export interface ChangeEnd {
  readonly status: ChangeStatus;
  readonly detail: string;
}

/** An order that was admitted, with what its sender must know. */
export interface AdmittedOrder extends EngineChange {
  /** Position of the order's record, which is its fencing number. */
  readonly order: LogPosition;
  readonly fenceOnly: boolean;
}

/** End of an order as its sender knows it. */
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

/** Names of the weights that a target loads, in order. */
export function listModels(target: EngineTarget): readonly string[] {
  return target.models.map((model) =>
    [`${model.model}@${model.version}`, ...model.adapters.toSorted()].join("+")
  ).toSorted();
}
