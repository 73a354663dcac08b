/**
 * What one instance has counted of its calls. The instance that holds a claim
 * on the calls to the operator reads it from all live instances about once a
 * second; counters never fall within a start, so that a lost answer does no harm.
 */
import type { ServiceName, WorkspaceName } from "../../types/index.ts";

/** Calls of each workspace that began to run in one window. */
export interface WindowCounts {
  /** Number of the window in true time. */
  readonly window: number;
  readonly counts: Readonly<Record<WorkspaceName, number>>;
}

/** What the calls of one service have asked for since the start of the instance; counters. */
export interface OfferedWork {
  /** Calls that arrived, with those that were refused. */
  readonly calls: number;
  /** Calls that were refused or failed for lack of room. */
  readonly refused: number;
  /** Prompt tokens of those calls, and of them those that no engine had cached. */
  readonly promptTokens: number;
  readonly missingTokens: number;
  /** Sum of the squares of each call's missing tokens: divided by their sum, it is the prompt that a token is expected to belong to. */
  readonly missingSquares: number;
  readonly outputTokens: number;
}

/** Counters of one instance. */
export interface ActivityReport {
  /** Identifies one run of the instance's process; counters compare only within it. */
  readonly start: string;
  /** Windows that are not over for long, oldest first. */
  readonly windows: readonly WindowCounts[];
  readonly offered: Readonly<Record<ServiceName, OfferedWork>>;
}

/** A call as it is counted when it arrives. */
export interface OfferedCall {
  readonly service: ServiceName;
  readonly promptTokens: number;
  readonly outputTokens: number;
}

/** Counts one instance's calls. */
export interface ActivityRecorder {
  readonly recordOffered: (call: OfferedCall) => void;
  /** Counts prompt tokens that an engine has to compute for a call of the service. */
  readonly recordMissing: (service: ServiceName, tokens: number) => void;
  readonly recordRefused: (service: ServiceName) => void;
  /** Counts a call that began to run at an endpoint now; once for each call. */
  readonly recordBegun: (workspace: WorkspaceName | undefined) => void;
  readonly getReport: () => ActivityReport;
}
