/** Clients and monitoring of endpoints. */
export * from "./endpoint/index.ts";
export { ConnectionAttempt, tryConnection } from "./http/index.ts";
export * from "./peer/index.ts";
