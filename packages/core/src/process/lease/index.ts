/** Leases of pools, decided by log order. */
export { leaseEvents } from "./events.ts";
export {
  keepLease,
  type KeepLeaseOptions,
  type LeaseKeeper,
  LeaseLostError,
} from "./keep_lease.ts";
