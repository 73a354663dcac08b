/** What instances tell each other about the work that workspaces ask for, and who asks for it. */
import type { ServiceName, WorkspaceName } from "../../types/index.ts";

/** Work of one service at one instance, as rates over the last seconds in thousandths of a unit a second; units are prompt tokens for streams and calls for plain services. Whole numbers. */
export interface ServiceDemand {
  /** Work that arrived, of the heaviest workspaces. */
  readonly heaviest: Readonly<Record<WorkspaceName, number>>;
  /** Work that arrived, of all others. */
  readonly rest: number;
  /** Number of those others. */
  readonly restCount: number;
  /** Work of all that was not refused. */
  readonly taken: number;
  /** Work of all that found no room. */
  readonly refused: number;
}

/** Demand at one instance by service, as its digests tell it. */
export type DemandReports = Readonly<Record<ServiceName, ServiceDemand>>;

/** A call of a workspace when it arrives. */
export interface SharedCall {
  readonly service: ServiceName;
  readonly workspace: WorkspaceName;
  /** Work of the call: its prompt tokens, or 1 on plain services. */
  readonly work: number;
}

/** Shares of workspaces in the room of each service. */
export interface FairShares {
  /** Counts a call that has arrived; returns the time after which to retry, in ms, if it is refused as beyond its workspace's share. */
  readonly admit: (call: SharedCall) => number | undefined;
  /** Counts a call that arrived and can not be refused for its share. */
  readonly recordOffered: (call: SharedCall) => void;
  /** Records that a counted call found no room. */
  readonly recordRefused: (call: Omit<SharedCall, "workspace">) => void;
  /** Demand at this instance for its digest; undefined while all calls find room. */
  readonly collectReports: () => DemandReports | undefined;
  /** Replaces what a peer has told. */
  readonly applyReports: (
    instance: string,
    reports: DemandReports | undefined,
  ) => void;
}
