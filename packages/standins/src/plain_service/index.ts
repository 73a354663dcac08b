/** Stand-in for a plain service. */
export * from "./service_standin.ts";
