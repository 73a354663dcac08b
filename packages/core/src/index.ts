/** Public API of the core library; other packages import only from here. */
export * from "./connection/index.ts";
export * from "./process/index.ts";
export * from "./request/index.ts";
export * from "./shared/index.ts";
export * from "./types/index.ts";
export * from "./version/index.ts";
