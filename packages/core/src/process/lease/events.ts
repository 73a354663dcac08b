/** Events of lease keepers, 220 to 229. */
import { type EventType, Severity } from "../../shared/index.ts";

/** Numbered events of lease keepers. */
export const leaseEvents = {
  leaseTaken: {
    number: 220,
    severity: Severity.Info,
    message: "this instance holds the lease of a pool",
  },
  leaseLost: {
    number: 221,
    severity: Severity.Warning,
    message: "this instance no longer holds the lease of a pool",
  },
  renewalFailed: {
    number: 222,
    severity: Severity.Warning,
    message: "the lease of a pool was not renewed",
  },
  leaseReleased: {
    number: 223,
    severity: Severity.Info,
    message: "this instance released the lease of a pool",
  },
} satisfies Record<string, EventType>;
