/** Handling of one request, from admission to its answer. */
export * from "./admission/index.ts";
export * from "./calls/index.ts";
export * from "./completion/index.ts";
export * from "./forwarding/index.ts";
export * from "./retries/index.ts";
export * from "./routing/index.ts";
export * from "./suspects/index.ts";
export * from "./workspaces/index.ts";
