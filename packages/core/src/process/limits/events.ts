/** Numbered log events of the limits that endpoints name, 870 to 879. */
import { type EventType, Severity } from "../../shared/index.ts";

/** Log events of limits and of what they hold back. */
export const limitEvents = {
  limitNamed: {
    number: 870,
    severity: Severity.Info,
    message: "endpoint limits the requests that it takes from all instances",
  },
  limitEnded: {
    number: 871,
    severity: Severity.Info,
    message: "endpoint no longer limits the requests that it takes",
  },
  callHeldBack: {
    number: 872,
    severity: Severity.Warning,
    message: "call is not sent: the endpoints' limits leave no room for it",
  },
} satisfies Record<string, EventType>;
