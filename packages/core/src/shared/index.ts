/** Helpers for addresses, counts, digests, documents, log events, name suggestions and timers. */
export * from "./addresses.ts";
export * from "./counts.ts";
export * from "./digests.ts";
export * from "./documents.ts";
export * from "./events.ts";
export * from "./held_bytes.ts";
export * from "./instants.ts";
export * from "./running_clock.ts";
export * from "./similar_names.ts";
export * from "./sleep.ts";
export * from "./timeouts.ts";
