/** Calls to services other than engines: run at most once, or retried a bounded number of times if idempotent. */
export * from "./call_types.ts";
export { createCallLookUp } from "./look_up.ts";
export { digestCall } from "./keyed_call.ts";
export { isIdempotent, runCall } from "./run_call.ts";
