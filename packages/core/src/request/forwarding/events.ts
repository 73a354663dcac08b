/** Numbered events of forwarded calls, 830 to 849. */
import { type EventType, Severity } from "../../shared/index.ts";

/** Numbered events of forwarded calls. */
export const forwardEvents = {
  placed: {
    number: 830,
    severity: Severity.Info,
    message: "endpoint chosen for a call",
  },
  sendFailed: {
    number: 831,
    severity: Severity.Warning,
    message: "call failed at an endpoint",
  },
  repeatRefused: {
    number: 832,
    severity: Severity.Warning,
    message: "call is not repeated: the budget of repeats is spent",
  },
  resumed: {
    number: 833,
    severity: Severity.Info,
    message: "broken stream goes on at another endpoint",
  },
  ended: {
    number: 834,
    severity: Severity.Info,
    message: "call answered",
  },
  refused: {
    number: 835,
    severity: Severity.Warning,
    message: "call refused or failed",
  },
  exportUnused: {
    number: 836,
    severity: Severity.Info,
    message: "exported prompt is not taken and is freed",
  },
} satisfies Record<string, EventType>;
