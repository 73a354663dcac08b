/** Rollout of a bundle's models, one failure domain after another, and role changes. */
export {
  describeRollout,
  type RolloutDescription,
  type RolloutEngine,
  RolloutProgress,
} from "./describe_rollout.ts";
export { rolloutEvents } from "./events.ts";
export { keepPool, type KeepPoolOptions } from "./keep_pool.ts";
export {
  buildRolloutTarget,
  canTakeEngine,
  isServing,
  planRollout,
  type RolloutPlan,
  type SeenEngine,
} from "./plan_rollout.ts";
export { healthWindowMs, type PoolHealth } from "./watch_health.ts";
