/** Role decisions of a pool. */
export {
  computeLoadFactor,
  computeServed,
  type Fleet,
  type Mix,
  type RoleCounts,
  type RoleSpeeds,
} from "./capacity.ts";
export { createPlanner, type PlannerOptions } from "./planner.ts";
