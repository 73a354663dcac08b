/** Rollout of a bundle's models, one failure domain after another, and role changes. */
export {
  describeRollout,
  type RolloutDescription,
  type RolloutEngine,
  RolloutProgress,
} from "./describe_rollout.ts";
export { rolloutEvents } from "./events.ts";
export { reconcilePool, type ReconcilePoolOptions } from "./reconcile_pool.ts";
export {
  buildRolloutTarget,
  canDrainEngine,
  isServing,
  type ObservedEngine,
  planRollout,
  type RolloutPlan,
} from "./plan_rollout.ts";
export { healthWindowMs, type PoolHealth } from "./watch_health.ts";
