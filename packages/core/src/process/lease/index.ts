/** Leases of pools, granted by the order of records in the log. */
export { leaseEvents } from "./events.ts";
export {
  keepLease,
  type KeepLeaseOptions,
  type LeaseKeeper,
  LeaseLostError,
} from "./keep_lease.ts";
