/**
 * Numbered log events. Each part of the system defines its events in one
 * catalogue module; a test compares docs/EVENTS.md with the catalogues.
 */
import "./enable_logs.ts";
import { Roarr } from "roarr";

/** Severity of an event, which sets the log level. */
export enum Severity {
  Debug = "debug",
  Info = "info",
  Warning = "warning",
  Error = "error",
}

/** Number, severity and message of a kind of event. */
export interface EventType {
  /** Unique over all catalogues. */
  readonly number: number;
  readonly severity: Severity;
  /** Constant text without a full stop; values go into the fields. */
  readonly message: string;
}

/** Values of one logged event; never keys, bodies or secrets. */
export type EventFields = Readonly<
  Record<string, string | number | boolean | undefined>
>;

/** Function that logs one event, such as `logEvent`. */
export type LogEvent = (event: EventType, fields?: EventFields) => void;

/** Logs an event through Roarr, at the level of its severity. */
export function logEvent(event: EventType, fields: EventFields = {}): void {
  const context = { event: event.number, ...fields };
  switch (event.severity) {
    case Severity.Debug:
      return Roarr.debug(context, event.message);
    case Severity.Info:
      return Roarr.info(context, event.message);
    case Severity.Warning:
      return Roarr.warn(context, event.message);
    case Severity.Error:
      return Roarr.error(context, event.message);
  }
}
