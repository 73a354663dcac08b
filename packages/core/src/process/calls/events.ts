/** Numbered events of keyed calls, which run at most once. */
import { type EventType, Severity } from "../../shared/index.ts";

/** Catalogue of the events of keyed calls, 400 to 499. */
export const callEvents = {
  resultUnrecorded: {
    number: 400,
    severity: Severity.Warning,
    message: "append of a call result was not confirmed; retrying",
  },
  resultUnknown: {
    number: 401,
    severity: Severity.Warning,
    message: "result of a dispatched call is unknown",
  },
  settledByLookUp: {
    number: 402,
    severity: Severity.Info,
    message:
      "call was settled with the answer that its service returned on look-up",
  },
} satisfies Record<string, EventType>;
