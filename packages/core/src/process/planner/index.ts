/** Role decisions of a pool. */
export {
  computeLoadFactor,
  computeServedRate,
  type Fleet,
  type RoleCounts,
  type RoleSpeeds,
  type WorkloadMix,
} from "./capacity.ts";
export { createPlanner, type PlannerOptions } from "./planner.ts";
