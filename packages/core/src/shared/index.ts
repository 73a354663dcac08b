/** Helpers without state, used by all parts. */
export * from "./digests.ts";
export * from "./events.ts";
export * from "./sleep.ts";
