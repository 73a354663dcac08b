/**
 * Interfaces of the platform's services. Adapters in `process/platform`
 * implement them over HTTP, tests with plain functions. All reject with
 * `RemoteError`.
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
  /** First offset that the log retains. */
  readonly earliest: number;
}

/** Range of a read. */
export interface LogRange {
  readonly from: number;
  readonly limit: number;
  /** Maximum time to wait for a first entry, in ms; 0 returns immediately. */
  readonly waitMs?: number;
  readonly signal?: AbortSignal;
}

/** The append-only log service. */
export interface LogService {
  /** Appends one payload and resolves to its offset. The error's `effect` states whether the append may have happened. */
  readonly append: (stream: StreamName, payload: string) => Promise<number>;
  /** Reads entries; rejects with `RemoteFailure.Expired` if `from` is before the first retained offset. */
  readonly read: (stream: StreamName, range: LogRange) => Promise<LogPage>;
}

/** Type of a listed process. */
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

/** One process in the platform's list, which lags behind the real state. */
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

/** Answer of the rate-limited weight store to a reservation. */
export interface WeightGrant {
  readonly granted: boolean;
  /** Delay before the next request, in ms; 0 if granted. */
  readonly retryAfterMs: number;
}

/** Asks the weight store for permission to load one set of weights. */
export type ReserveWeightLoad = (
  weights: string,
  signal?: AbortSignal,
) => Promise<WeightGrant>;
