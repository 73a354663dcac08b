/**
 * The platform's services as functions. Adapters in `process/platform` turn
 * them into HTTP; tests pass plain functions. All reject with `RemoteError`.
 */
import type { EndpointName, FailureDomain, InstanceName } from "./names.ts";

/** Streams of the platform's log. */
export enum StreamName {
  /** Bundles, leases, orders, drains, instance starts. */
  Control = "control",
  /** Intents and outcomes of calls that run at most once. */
  Calls = "calls",
  /** Counters for the service-level report. */
  Burn = "burn",
}

/** One entry of a log stream. */
export interface LogEntry {
  readonly offset: number;
  /** Time of the append by the log's clock, in ms since the epoch. */
  readonly timeMs: number;
  readonly payload: string;
}

/** Result of a read. */
export interface LogPage {
  readonly entries: readonly LogEntry[];
  /** Offset that the next append would get. */
  readonly end: number;
  /** First offset that the log still keeps. */
  readonly earliest: number;
}

/** Range of a read. */
export interface LogRange {
  readonly from: number;
  readonly limit: number;
  /** Longest time to wait for a first entry, in ms; 0 answers at once. */
  readonly waitMs?: number;
  readonly signal?: AbortSignal;
}

/** The append-only log service. */
export interface LogService {
  /** Appends one payload and resolves to its offset. A rejection says whether it may have taken effect. */
  readonly append: (stream: StreamName, payload: string) => Promise<number>;
  /** Reads entries; rejects with `RemoteFailure.Expired` behind the retention edge. */
  readonly read: (stream: StreamName, range: LogRange) => Promise<LogPage>;
}

/** What a listed process is. */
export enum MemberKind {
  Instance = "instance",
  Engine = "engine",
  Service = "service",
}

/** Whether a listed process takes new work. */
export enum MemberState {
  Live = "live",
  Leaving = "leaving",
}

/** One row of the platform's lagging list. */
export interface Member {
  readonly name: InstanceName | EndpointName;
  readonly kind: MemberKind;
  readonly state: MemberState;
  readonly failureDomain: FailureDomain;
  /** IP number and port, for instance `127.0.0.1:7000`. */
  readonly address: string;
  /** Address at which peers reach an instance; absent on endpoints. */
  readonly peerAddress?: string;
}

/** The platform's list of live and leaving processes. */
export type ListMembers = (signal?: AbortSignal) => Promise<readonly Member[]>;

/** Grant of the rate-limited weight store. */
export interface WeightGrant {
  readonly granted: boolean;
  /** When to ask again, in ms; 0 when granted. */
  readonly retryAfterMs: number;
}

/** Asks the weight store for permission to load one set of weights. */
export type ReserveWeightLoad = (
  weights: string,
  signal?: AbortSignal,
) => Promise<WeightGrant>;
