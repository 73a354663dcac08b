/** The library of coordination parts: everything that others embed. */
export * from "./connection/index.ts";
export * from "./process/index.ts";
export * from "./request/index.ts";
export * from "./shared/index.ts";
export * from "./types/index.ts";
export * from "./version/index.ts";
