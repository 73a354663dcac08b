/** Events of the log client, 200 to 219. */
import { type EventType, Severity } from "../../shared/index.ts";

/** Numbered events of the log client. */
export const logEvents = {
  entrySkipped: {
    number: 200,
    severity: Severity.Error,
    message: "skipped a malformed log entry",
  },
  readFailed: {
    number: 201,
    severity: Severity.Warning,
    message: "reading the log failed",
  },
  readRecovered: {
    number: 202,
    severity: Severity.Info,
    message: "the log can be read again",
  },
  appendRetried: {
    number: 203,
    severity: Severity.Warning,
    message: "an append to the log got no answer and is sent again",
  },
  checkpointLoaded: {
    number: 204,
    severity: Severity.Info,
    message: "loaded the state from a checkpoint in the log",
  },
  checkpointMissing: {
    number: 205,
    severity: Severity.Error,
    message: "the log keeps neither all entries nor a usable checkpoint",
  },
  peerStateAccepted: {
    number: 206,
    severity: Severity.Info,
    message: "accepted a newer state from a peer",
  },
  logShrunk: {
    number: 207,
    severity: Severity.Error,
    message: "the log ends before entries that were already read",
  },
  groupLate: {
    number: 208,
    severity: Severity.Warning,
    message: "skipped a group that reached the log too late",
  },
} satisfies Record<string, EventType>;
