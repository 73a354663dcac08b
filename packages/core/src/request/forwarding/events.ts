/** Numbered log events of forwarded calls; the numbers 830 to 849 are reserved for them. */
import { type EventType, Severity } from "../../shared/index.ts";

/** Log events of placing, sending, retrying and ending a forwarded call. */
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
  retryRefused: {
    number: 832,
    severity: Severity.Warning,
    message: "call is not repeated: the budget of repeats is spent",
  },
  resumed: {
    number: 833,
    severity: Severity.Info,
    message: "stream that has begun goes on at an endpoint",
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
    message: "unused exported prompt is released",
  },
  sentLate: {
    number: 837,
    severity: Severity.Warning,
    message: "call was sent long after its endpoint was chosen",
  },
  writtenLate: {
    number: 829,
    severity: Severity.Warning,
    message: "call was written long after it was checked for the last time",
  },
  choiceOutdated: {
    number: 838,
    severity: Severity.Info,
    message:
      "call was not written to the endpoint chosen for it, as the choice no longer holds",
  },
  overdue: {
    number: 839,
    severity: Severity.Info,
    message:
      "call without an answer past its objective was repeated or kept waiting",
  },
  endpointRefused: {
    number: 849,
    severity: Severity.Info,
    message: "endpoint answered that it did not run a call",
  },
} satisfies Record<string, EventType>;
