/** Numbered log events of the daemon. */
import { type EventType, Severity } from "@trefoildoor/core";

/** Events 100 to 199. */
export const daemonEvents = {
  started: {
    number: 100,
    severity: Severity.Info,
    message: "Instance started",
  },
  ready: { number: 101, severity: Severity.Info, message: "Instance is ready" },
  notReady: {
    number: 102,
    severity: Severity.Warning,
    message: "Instance is not ready",
  },
  stopRequested: {
    number: 103,
    severity: Severity.Info,
    message: "Planned stop began",
  },
  stopRepeated: {
    number: 104,
    severity: Severity.Info,
    message: "Stop signal repeated; work in flight goes on",
  },
  stopCut: {
    number: 105,
    severity: Severity.Error,
    message: "Stop deadline passed; calls were cut",
  },
  stopped: {
    number: 106,
    severity: Severity.Info,
    message: "Instance stopped",
  },
  startFailed: {
    number: 107,
    severity: Severity.Error,
    message: "Instance could not start",
  },
  handlerFailed: {
    number: 110,
    severity: Severity.Error,
    message: "Handler of a call failed unexpectedly",
  },
  callerStalled: {
    number: 111,
    severity: Severity.Warning,
    message: "Caller read nothing for too long; answer was cut",
  },
  bundleInForce: {
    number: 120,
    severity: Severity.Info,
    message: "Bundle version in force",
  },
  peerUnreachable: {
    number: 130,
    severity: Severity.Warning,
    message: "Peer cannot be reached",
  },
  peerReachable: {
    number: 131,
    severity: Severity.Info,
    message: "Peer can be reached again",
  },
  peerState: {
    number: 132,
    severity: Severity.Info,
    message: "Control state taken from a peer",
  },
  peerRefused: {
    number: 133,
    severity: Severity.Warning,
    message: "Peer call with a wrong key refused",
  },
  taskFailed: {
    number: 140,
    severity: Severity.Error,
    message: "Background task ended with an error and restarts",
  },
} satisfies Record<string, EventType>;
