/** Service-level counters and burn rates. */
export {};
