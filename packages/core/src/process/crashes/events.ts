/** Numbered log events of crash evidence, 840 to 849. */
import { type EventType, Severity } from "../../shared/index.ts";

/** Log events of crashes under calls, and of the verdicts that follow. */
export const crashEvents = {
  endpointCrashed: {
    number: 840,
    severity: Severity.Warning,
    message: "process of an endpoint ended while calls were in flight there",
  },
  verdictBegun: {
    number: 841,
    severity: Severity.Warning,
    message: "calls with a trait are refused, as endpoints crashed under them",
  },
  verdictEnded: {
    number: 842,
    severity: Severity.Info,
    message: "calls with a trait are no longer refused",
  },
  callRefused: {
    number: 843,
    severity: Severity.Warning,
    message: "call is not sent: endpoints crashed under calls with its trait",
  },
  trialBegun: {
    number: 844,
    severity: Severity.Info,
    message: "call runs to show which of its traits crashes endpoints",
  },
  evidenceRestored: {
    number: 845,
    severity: Severity.Info,
    message: "stored evidence of crashes was read",
  },
  evidenceNotStored: {
    number: 846,
    severity: Severity.Warning,
    message: "evidence of crashes could not be stored",
  },
  evidenceNotRead: {
    number: 847,
    severity: Severity.Warning,
    message: "stored evidence of crashes could not be read",
  },
  lossesExplained: {
    number: 848,
    severity: Severity.Info,
    message:
      "lost calls are no sign of a crash: their endpoint answers later calls",
  },
} satisfies Record<string, EventType>;
