/** Events of pool leases, 220 to 229. */
import { type EventType, Severity } from "../../shared/index.ts";

/** Numbered events of pool leases. */
export const leaseEvents = {
  leaseClaimed: {
    number: 220,
    severity: Severity.Info,
    message: "this instance acquired the lease of a pool",
  },
  leaseLost: {
    number: 221,
    severity: Severity.Warning,
    message: "this instance no longer holds the lease of a pool",
  },
  renewalFailed: {
    number: 222,
    severity: Severity.Warning,
    message: "lease of a pool could not be claimed, renewed or released",
  },
  leaseReleased: {
    number: 223,
    severity: Severity.Info,
    message: "this instance released the lease of a pool",
  },
} satisfies Record<string, EventType>;
