/** Numbered events of the service-level counters. */
import { type EventType, Severity } from "../../shared/index.ts";

/** Events of the service-level counters, 600 to 619. */
export const burnEvents = {
  summaryDelayed: {
    number: 600,
    severity: Severity.Warning,
    message: "service-level summary was not confirmed and is sent again later",
  },
  summaryResumed: {
    number: 601,
    severity: Severity.Info,
    message: "service-level summaries reach the log again",
  },
} satisfies Record<string, EventType>;
