/** Numbered events of the service-level counters. */
import { type EventType, Severity } from "../../shared/index.ts";

/** Catalogue of the service-level counters' events, 600 to 619. */
export const burnEvents = {
  summaryDelayed: {
    number: 600,
    severity: Severity.Warning,
    message:
      "append of a service-level summary was not confirmed; its counts are sent again later",
  },
  summaryResumed: {
    number: 601,
    severity: Severity.Info,
    message: "service-level summaries are appended to the log again",
  },
} satisfies Record<string, EventType>;
