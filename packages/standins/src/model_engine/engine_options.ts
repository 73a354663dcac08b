/** Settings and records of the engine stand-in. */
import {
  type EngineOrder,
  EngineRole,
  type EngineTarget,
  FenceCheck,
  type OrderProgress,
} from "@trefoildoor/core";

/** Settings of the engine stand-in; each has a default. */
export interface EngineStandinOptions {
  readonly target?: EngineTarget;
  readonly fenceCheck?: FenceCheck;
  /** KV blocks of 1,000 tokens. */
  readonly kvBlocks?: number;
  readonly maxRunning?: number;
  readonly maxQueued?: number;
  readonly prefillTokensPerSecond?: number;
  /** Time of one decode step with one sequence, in ms. */
  readonly decodeStepMs?: number;
  /** What each further sequence adds to a decode step, in ms. */
  readonly decodeStepMsPerSequence?: number;
  /** Absence of a role change, in ms. */
  readonly roleChangeMs?: number;
  /** Absence of loading one model version, in ms. */
  readonly modelLoadMs?: number;
  /** Age that load reports have when they are given, in ms. */
  readonly reportLagMs?: number;
  /** Share of cache events that reports leave out, 0 to 1. */
  readonly cacheGapShare?: number;
  /** Time for which a generation without a reader is kept, in ms. */
  readonly holdMs?: number;
  /** Transfer time of one imported KV block, in ms. */
  readonly kvTransferMsPerBlock?: number;
  /** Time from a crash to the restart, in ms; no restart when negative. */
  readonly restartMs?: number;
  /** Seed of what is random. */
  readonly seed?: number;
}

/** Settings with every default filled in. */
export type EngineSettings = Required<EngineStandinOptions>;

const defaults: EngineSettings = {
  target: {
    role: EngineRole.Mixed,
    models: [{ model: "draft", version: "1", adapters: [] }],
  },
  fenceCheck: FenceCheck.Checked,
  kvBlocks: 256,
  maxRunning: 64,
  maxQueued: 1_024,
  prefillTokensPerSecond: 20_000,
  decodeStepMs: 10,
  decodeStepMsPerSequence: 0.1,
  roleChangeMs: 2_000,
  modelLoadMs: 1_000,
  reportLagMs: 0,
  cacheGapShare: 0,
  holdMs: 5_000,
  kvTransferMsPerBlock: 2,
  restartMs: 500,
  seed: 1,
};

/** Fills in the defaults. */
export function buildSettings(options: EngineStandinOptions): EngineSettings {
  const given = Object.entries(options).filter(([, value]) =>
    value !== undefined
  );
  return { ...defaults, ...Object.fromEntries(given) };
}

/** What the engine did with an order that it received. */
export enum OrderVerdict {
  Accepted = "accepted",
  /** The same order came again. */
  Repeated = "repeated",
  /** Its fencing number was too low. */
  Fenced = "fenced",
}

/** An order as the engine recorded it. */
export interface RecordedOrder extends EngineOrder {
  readonly verdict: OrderVerdict;
  readonly receivedMs: number;
  /** Absent while it runs, and when it was not accepted. */
  endedMs?: number;
  progress: OrderProgress;
  /** Generations that the order cut. */
  cut: number;
}

/** How a generation ended. */
export enum GenerationEnd {
  Finished = "finished",
  Cancelled = "cancelled",
  /** No reader came back within the hold time. */
  Abandoned = "abandoned",
  CutByOrder = "cut_by_order",
  CutByCrash = "cut_by_crash",
}

/** A generation as the engine recorded it. */
export interface RecordedGeneration {
  readonly attemptId: string;
  readonly promptDigest: string;
  readonly model: string;
  readonly version: string;
  readonly startedMs: number;
  /** Tokens that earlier attempts had delivered. */
  readonly resumedFrom: number;
  tokens: number;
  endedMs?: number;
  end?: GenerationEnd;
}
