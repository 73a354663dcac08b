/** Parts that live as long as one connection. */
export * from "./endpoint/index.ts";
export * from "./peer/index.ts";
