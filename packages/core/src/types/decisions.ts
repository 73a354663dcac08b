/** Inputs and results of the role planner, which runs at a pool's lease holder. */
import type { BundlePool } from "./bundles.ts";
import type { EngineRole, LoadReport } from "./endpoints.ts";
import type { EndpointName, FailureDomain } from "./names.ts";

/** What the planner knows about an engine. */
export interface PlannerEngine {
  readonly name: EndpointName;
  readonly failureDomain: FailureDomain;
  readonly role: EngineRole;
  /** Whether the engine accepts work: it is not draining, changing, leaving, unresponsive or crashed. */
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

/** Complete input of one planning decision. */
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
  /** Expected net gain in useful answers over the planning horizon, after the loss during the change. */
  readonly gain: number;
}

/** Chooses the next role change; undefined if none has a sufficient gain. */
export type PlanRoles = (input: PlannerInput) => RoleChange | undefined;
