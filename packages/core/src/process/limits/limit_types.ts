/** What instances tell each other about the limits of endpoints. */
import type { EndpointName } from "../../types/index.ts";

/** What an answer told about the endpoint's limit. */
export interface ObservedLimit {
  /** Start of the endpoint's process, in ms since the epoch; 0 if it is not known. */
  readonly startedAtMs: number;
  /** Requests a second from all instances together; null if the limit has ended. */
  readonly perSecond: number | null;
  /** Time since the answer, in ms. */
  readonly ageMs: number;
  /** Whether the answer was that to a prompt export. */
  readonly byExport: boolean;
}

/** One instance's report on a limited endpoint, with its own requests since it knows of the limit. */
export interface LimitReport extends ObservedLimit {
  /** Calls that could have been sent there. */
  readonly demand: number;
  /** Requests that were sent there. */
  readonly sends: number;
}

/** Reports of one instance, by endpoint. */
export type LimitReports = Readonly<Record<EndpointName, LimitReport>>;

/** Where reports come from. */
export interface ReportSource {
  readonly instance: string;
  /** Identifies one run of the instance's process. */
  readonly start: string;
  /** Whether the instance is shutting down, so that it sends nothing more soon. */
  readonly stopping: boolean;
  /** Time that the reports have been on their way, in ms. */
  readonly delayMs: number;
}
