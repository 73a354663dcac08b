/** Parts that all stand-ins use. */
export * from "./faults.ts";
export * from "./http_server.ts";
export * from "./random.ts";
