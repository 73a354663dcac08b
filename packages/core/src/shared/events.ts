/**
 * Numbered log events. Each part of the system lists its events in one
 * catalogue module; docs/EVENTS.md repeats them and a test compares both.
 */
import "./enable_logs.ts";
import { Roarr } from "roarr";

/** Severity of an event. */
export enum Severity {
  Debug = "debug",
  Info = "info",
  Warning = "warning",
  Error = "error",
}

/** Description of a numbered event. */
export interface EventType {
  /** Number, unique in the system. */
  readonly number: number;
  readonly severity: Severity;
  /** Sentence without a full stop, the same for every occurrence. */
  readonly message: string;
}

/** Values of one occurrence; never keys, bodies or secrets. */
export type EventFields = Readonly<
  Record<string, string | number | boolean | undefined>
>;

/** Writes one event to the structured log. */
export type LogEvent = (event: EventType, fields?: EventFields) => void;

/** Writes an event through the process's structured logger. */
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
