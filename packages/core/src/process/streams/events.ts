/** Numbered log events of streams and the software versions that began them, 880 to 889. */
import { type EventType, Severity } from "../../shared/index.ts";

/** Log events of streams that callers take up again. */
export const streamEvents = {
  originFound: {
    number: 880,
    severity: Severity.Info,
    message: "stream is taken up; the version that began it is known",
  },
  originUnknown: {
    number: 881,
    severity: Severity.Warning,
    message:
      "stream is not taken up: no instance knows which of several versions began it",
  },
  originAssumed: {
    number: 882,
    severity: Severity.Info,
    message: "stream is taken up at the only version that has served lately",
  },
  versionAbsent: {
    number: 883,
    severity: Severity.Warning,
    message: "stream does not go on: no endpoint of its version takes work",
  },
  versionStored: {
    number: 884,
    severity: Severity.Info,
    message: "software version is listed and was written to the record",
  },
  versionRemoved: {
    number: 885,
    severity: Severity.Info,
    message: "software version has left and was removed from the record",
  },
  versionsNotKept: {
    number: 886,
    severity: Severity.Warning,
    message: "record of software versions cannot be read or written",
  },
} satisfies Record<string, EventType>;
