/** Keyed calls, which run at most once, on the calls stream of the log. */
export * from "./call_tracker.ts";
export * from "./call_keys.ts";
export * from "./calls_schema.ts";
export * from "./calls_state.ts";
export * from "./events.ts";
export * from "./settle_calls.ts";
export * from "./fold_calls.ts";
