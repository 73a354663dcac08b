/** Leases of pools, granted by the order of records in the log. */
export { leaseEvents } from "./events.ts";
export {
  type LeaseHandle,
  LeaseLostError,
  maintainLease,
  type MaintainLeaseOptions,
} from "./keep_lease.ts";
