/** Components with the lifetime of the process. */
export * from "./activity/index.ts";
export * from "./burn/index.ts";
export * from "./calls/index.ts";
export * from "./crashes/index.ts";
export * from "./fleet/index.ts";
export * from "./lease/index.ts";
export * from "./limits/index.ts";
export * from "./links/index.ts";
export * from "./log/index.ts";
export * from "./membership/index.ts";
export * from "./operator/index.ts";
export * from "./orders/index.ts";
export * from "./planner/index.ts";
export * from "./platform/index.ts";
export * from "./rollout/index.ts";
export * from "./scaling/index.ts";
export * from "./streams/index.ts";
