/** Events of calls that run at most once. */
import { type EventType, Severity } from "../../shared/index.ts";

/** Events 400 to 499. */
export const callEvents = {
  resultUnrecorded: {
    number: 400,
    severity: Severity.Warning,
    message: "result of a call is not in the log and is tried again",
  },
  resultUnknown: {
    number: 401,
    severity: Severity.Warning,
    message: "result of a dispatched call is unknown",
  },
  settledByLookUp: {
    number: 402,
    severity: Severity.Info,
    message: "call was settled by a look-up at its service",
  },
} satisfies Record<string, EventType>;
