/** Numbered events of connections to endpoints, 700 to 719. */
import { type EventType, Severity } from "../../shared/index.ts";

/** Numbered events of connections to endpoints. */
export const endpointEvents = {
  endpointUnresponsive: {
    number: 700,
    severity: Severity.Warning,
    message: "endpoint is unresponsive",
  },
  endpointResponsive: {
    number: 701,
    severity: Severity.Info,
    message: "endpoint responds again",
  },
  endpointRestarted: {
    number: 702,
    severity: Severity.Warning,
    message: "endpoint has restarted",
  },
  connectionsReplaced: {
    number: 703,
    severity: Severity.Warning,
    message: "unresponsive connections to an endpoint were replaced",
  },
} satisfies Record<string, EventType>;
