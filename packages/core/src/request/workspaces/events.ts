/** Numbered events of workspaces and their keys, 900 to 909; keys are in none. */
import { type EventType, Severity } from "../../shared/index.ts";

/** Event types of workspaces; each number is used once. */
export const workspaceEvents = {
  keysChanged: {
    number: 900,
    severity: Severity.Info,
    message: "keys of workspaces have changed",
  },
  keyUnknown: {
    number: 901,
    severity: Severity.Info,
    message: "call has no key that a workspace holds",
  },
  keyTakenAway: {
    number: 902,
    severity: Severity.Info,
    message: "call is not sent: its key was taken away after it arrived",
  },
  keysUnconfirmed: {
    number: 903,
    severity: Severity.Warning,
    message: "keys are not known recently enough; calls with keys are refused",
  },
  keysConfirmed: {
    number: 904,
    severity: Severity.Info,
    message: "keys are known recently enough again",
  },
} satisfies Record<string, EventType>;
