/** Stand-in for the platform's log service. */
export * from "./log_standin.ts";
