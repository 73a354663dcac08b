/**
 * Calls to the operator of the platform that one instance at a time makes, under
 * a claim in the store. Nothing that they change can be read back, and a call
 * without an answer may be carried out later, after newer ones.
 */
import type {
  FailureDomain,
  InstanceName,
  ServiceName,
  WorkspaceName,
} from "./names.ts";

/** Holder and number of the claim under which a call is made. */
export interface ClaimStamp {
  readonly holder: InstanceName;
  /** Fencing number; the same for all calls while the holder stays the same, higher for each later holder. */
  readonly fence: number;
}

/** Calls of each workspace that began to run at endpoints in one window. */
export interface UsageReport {
  /** Number of the window; it begins `window` times its length after the start of 1970. */
  readonly window: number;
  readonly counts: Readonly<Record<WorkspaceName, number>>;
}

/**
 * Record of the claim under which calls to the operator are made. It carries the
 * reports that are fixed, so that a later holder sends exactly these.
 */
export interface OperatorRecord extends ClaimStamp {
  /** Address of the holder's process: an instance of the same name elsewhere is another holder. */
  readonly address?: string;
  /** Era of the store in which the claim was appended; 0 if absent. */
  readonly era?: number;
  /** Era of the store in which `nextWindow` was written; 0 if absent. After a later one began, windows may have been fixed that the record does not know. */
  readonly windowsEra?: number;
  /** First window whose report is not fixed yet; absent before the first. */
  readonly nextWindow?: number;
  /** Endpoints that each service is planned to have, so that a later holder goes on from there; absent before the first plan. */
  readonly planned?: Readonly<Record<ServiceName, number>>;
  /** Fixed reports that the operator may not have yet, oldest first. */
  readonly reports: readonly UsageReport[];
}

/** Order of the number of endpoints of a service in a failure domain. */
export interface EndpointOrder {
  readonly service: ServiceName;
  readonly failureDomain: FailureDomain;
  readonly count: number;
  /** Whether the order is for endpoints that may be reclaimed; each kind is counted for itself. */
  readonly reclaimable: boolean;
}

/** How the operator answered a call. */
export enum OperatorAnswer {
  Accepted = "accepted",
  /** A higher fencing number was seen, or, for an order of endpoints, none are available. */
  Conflict = "conflict",
  /** All instances together made too many calls. */
  RateLimited = "rate_limited",
  /** Any other status. */
  Rejected = "rejected",
}

/** Permission that is asked right before a call is written; false ends it without effect. */
export interface OperatorCallOptions {
  readonly mayWrite: () => boolean;
}

/** Calls to the operator; they reject with `RemoteError`, whose effect says whether the call may have been made. */
export interface OperatorApi {
  readonly sendUsage: (
    report: UsageReport,
    stamp: ClaimStamp,
    options: OperatorCallOptions,
  ) => Promise<OperatorAnswer>;
  readonly orderEndpoints: (
    order: EndpointOrder,
    stamp: ClaimStamp,
    options: OperatorCallOptions,
  ) => Promise<OperatorAnswer>;
}
