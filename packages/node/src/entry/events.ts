/** Numbered events of the entry, 850 to 869. */
import { type EventType, Severity } from "@trefoildoor/core";

/** Event types of the entry; each number is used once. */
export const entryEvents = {
  started: { number: 850, severity: Severity.Info, message: "entry started" },
  ready: { number: 851, severity: Severity.Info, message: "entry is ready" },
  notReady: {
    number: 852,
    severity: Severity.Warning,
    message: "entry is not ready",
  },
  stopRequested: {
    number: 853,
    severity: Severity.Info,
    message: "planned stop of the entry began",
  },
  stopped: { number: 854, severity: Severity.Info, message: "entry stopped" },
  settingsReloaded: {
    number: 855,
    severity: Severity.Info,
    message: "settings read again; changes apply from the next start",
  },
  settingsRejected: {
    number: 856,
    severity: Severity.Error,
    message: "changed settings have faults; the former ones stay in force",
  },
  handlerFailed: {
    number: 857,
    severity: Severity.Error,
    message: "handler of a call failed unexpectedly",
  },
  linkFailed: {
    number: 858,
    severity: Severity.Warning,
    message: "link between instances reported an error",
  },
  notRegistered: {
    number: 859,
    severity: Severity.Warning,
    message: "instance could not register in the store",
  },
  releaseFailed: {
    number: 860,
    severity: Severity.Warning,
    message: "exported prompt could not be released; it expires by itself",
  },
  callMalformed: {
    number: 861,
    severity: Severity.Warning,
    message: "request of a caller cannot be decoded",
  },
  crashed: {
    number: 863,
    severity: Severity.Error,
    message: "entry exits because of an unexpected error",
  },
  linesDropped: {
    number: 862,
    severity: Severity.Warning,
    message: "log lines were dropped",
  },
  eventLoopBlocked: {
    number: 864,
    severity: Severity.Warning,
    message: "event loop was blocked",
  },
} satisfies Record<string, EventType>;
