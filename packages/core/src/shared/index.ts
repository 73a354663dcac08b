/** Stateless helpers that all parts use. */
export * from "./digests.ts";
export * from "./documents.ts";
export * from "./events.ts";
export * from "./similar_names.ts";
export * from "./sleep.ts";
