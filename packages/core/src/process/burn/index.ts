/** Service-level counters and the report that is computed from them. */
export * from "./burn_counters.ts";
export * from "./burn_gaps.ts";
export * from "./burn_names.ts";
export * from "./burn_series.ts";
export * from "./compute_burn.ts";
export * from "./events.ts";
export * from "./write_burn_summaries.ts";
