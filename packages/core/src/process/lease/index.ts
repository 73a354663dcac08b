/** Leases of pools, decided by log order. */
export {};
