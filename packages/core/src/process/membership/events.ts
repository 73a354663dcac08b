/** Numbered events of membership, 720 to 739. */
import { type EventType, Severity } from "../../shared/index.ts";

/** Numbered events of membership. */
export const membershipEvents = {
  listUnreadable: {
    number: 720,
    severity: Severity.Warning,
    message: "list of live and leaving processes cannot be read",
  },
  listReadable: {
    number: 721,
    severity: Severity.Info,
    message: "list of live and leaving processes is read again",
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
  memberUnusable: {
    number: 724,
    severity: Severity.Warning,
    message: "entry of the list names no process and is left out",
  },
  listOutdated: {
    number: 725,
    severity: Severity.Warning,
    message:
      "list of processes is too old and cannot be read in time; calls go on by it",
  },
} satisfies Record<string, EventType>;
