/** Numbered events of membership, 720 to 739. */
import { type EventType, Severity } from "../../shared/index.ts";

/** Numbered events of membership. */
export const membershipEvents = {
  listUnreadable: {
    number: 720,
    severity: Severity.Warning,
    message: "member list is empty or could not be read",
  },
  listReadable: {
    number: 721,
    severity: Severity.Info,
    message: "member list is readable again",
  },
  memberLeaving: {
    number: 722,
    severity: Severity.Info,
    message: "process is leaving and gets no new work",
  },
  memberGone: {
    number: 723,
    severity: Severity.Info,
    message: "process is no longer listed and gets no new work",
  },
} satisfies Record<string, EventType>;
