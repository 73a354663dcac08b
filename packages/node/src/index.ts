/** Public parts of this package. */
export * from "./connection/peers/index.ts";
