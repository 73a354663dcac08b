/** Check of a routing configuration before it is written to the store. */
export * from "./describe_changes.ts";
export * from "./find_faults.ts";
