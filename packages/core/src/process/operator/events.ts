/** Numbered events of the calls to the operator, 920 to 939. */
import { type EventType, Severity } from "../../shared/index.ts";

/** Event types of the calls to the operator; each number is used once. */
export const operatorEvents = {
  usageFixed: {
    number: 920,
    severity: Severity.Info,
    message: "usage report is fixed in the store",
  },
  usageSent: {
    number: 921,
    severity: Severity.Info,
    message: "usage report was accepted",
  },
  usageNotSent: {
    number: 922,
    severity: Severity.Warning,
    message: "usage report was not accepted or not answered; it is sent again",
  },
  usageGivenUp: {
    number: 923,
    severity: Severity.Error,
    message:
      "usage of windows is not reported: what was counted or sent is not known any more",
  },
  usageIncomplete: {
    number: 924,
    severity: Severity.Warning,
    message: "usage report is fixed without what some instances have counted",
  },
  operatorUnreachable: {
    number: 925,
    severity: Severity.Warning,
    message: "operator cannot be reached; another instance is to call it",
  },
  operatorReachable: {
    number: 926,
    severity: Severity.Info,
    message: "operator can be reached again",
  },
} satisfies Record<string, EventType>;
