/** Inputs and results of the decisions that a pool's lease holder takes. */
import type { BundlePool } from "./bundles.ts";
import type { EngineRole, LoadReport } from "./endpoints.ts";
import type { EndpointName, FailureDomain } from "./names.ts";

/** An engine as the planner sees it. */
export interface PlannerEngine {
  readonly name: EndpointName;
  readonly failureDomain: FailureDomain;
  readonly role: EngineRole;
  /** Takes work now: not draining, changing, leaving, silent or crashed. */
  readonly ready: boolean;
  readonly report?: LoadReport;
  /** Age of the report at this node, in ms. */
  readonly reportAgeMs: number;
}

/** Work offered to a pool during one interval, summed over all instances. */
export interface DemandSample {
  readonly fromMs: number;
  readonly toMs: number;
  readonly requests: number;
  readonly promptTokens: number;
  readonly outputTokens: number;
  readonly refused: number;
}

/** All that a role decision may look at. */
export interface PlannerInput {
  readonly pool: BundlePool;
  readonly engines: readonly PlannerEngine[];
  /** Newest last. */
  readonly demand: readonly DemandSample[];
  readonly nowMs: number;
  /** Time of the pool's last role change, in ms; undefined before the first. */
  readonly lastChangeMs?: number;
}

/** One change of one engine's role. */
export interface RoleChange {
  readonly engine: EndpointName;
  readonly role: EngineRole;
  /** Useful answers that the change is expected to gain over its horizon, after its own loss. */
  readonly gain: number;
}

/** Decides on the next role change; undefined when none pays. */
export type PlanRoles = (input: PlannerInput) => RoleChange | undefined;
