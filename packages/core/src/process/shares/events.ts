/** Numbered events of fair shares, 910 to 919. */
import { type EventType, Severity } from "../../shared/index.ts";

/** Event types of fair shares; each number is used once. */
export const shareEvents = {
  sharesApplied: {
    number: 910,
    severity: Severity.Warning,
    message: "calls of workspaces beyond their fair share are refused",
  },
  sharesEnded: {
    number: 911,
    severity: Severity.Info,
    message: "calls are not refused for shares any more",
  },
} satisfies Record<string, EventType>;
