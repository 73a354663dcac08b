/** Stand-in for the platform's weight store. */
export * from "./weight_store_standin.ts";
