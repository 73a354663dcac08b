/**
 * Endpoints as functions. Adapters in `connection/endpoint` turn them into
 * HTTP; tests pass plain functions. All reject with `RemoteError`.
 */
import type { EndpointName, LogPosition, ModelName } from "./names.ts";

/** What an engine does with its batches. */
export enum EngineRole {
  /** Computes prompts and exports their KV cache. */
  Prefill = "prefill",
  /** Generates from imported KV cache. */
  Decode = "decode",
  /** Does both. */
  Mixed = "mixed",
}

/** Importance of a request to its engine; larger goes first. */
export enum Priority {
  Batch = 0,
  Normal = 1,
  Interactive = 2,
}

/** Tokens in one piece of KV cache memory. */
export const kvBlockTokens = 1_000;

/** Load of an engine as it reports it, late. */
export interface LoadReport {
  /** Count of reports since the engine's start; with `startId` it orders reports. */
  readonly sequence: number;
  /** Differs after each start of the engine. */
  readonly startId: string;
  /** Time since the figures were taken when the report was sent, in ms. */
  readonly ageMs: number;
  readonly role: EngineRole;
  /** True from the moment the engine takes no more work until it does again. */
  readonly changing: boolean;
  readonly running: number;
  readonly queued: number;
  /** Prompt tokens that wait or are being computed. */
  readonly queuedPromptTokens: number;
  readonly kvBlocksUsed: number;
  readonly kvBlocksTotal: number;
  /** Recent speeds in tokens per second. */
  readonly prefillTokensPerSecond: number;
  readonly decodeTokensPerSecond: number;
  /** Digests of cached prompt prefixes, one per full KV block, most recent first. */
  readonly cachedPrefixes: readonly string[];
}

/** One completion to generate. */
export interface GenerateRequest {
  /** Unique for each attempt at an engine. */
  readonly attemptId: string;
  readonly model: ModelName;
  readonly adapter?: string;
  readonly prompt: string;
  /** Tokens already delivered by an earlier attempt, which the engine continues. */
  readonly resumeTokens?: readonly string[];
  readonly maxTokens: number;
  readonly priority: Priority;
  readonly seed?: number;
  /** Handle of KV cache exported by another engine. */
  readonly kvHandle?: string;
}

/** Why a generation ended. */
export enum FinishReason {
  Stop = "stop",
  Length = "length",
}

/** One event of a generation. */
export type GenerateEvent =
  | { readonly kind: "token"; readonly index: number; readonly text: string }
  | {
    readonly kind: "finish";
    readonly reason: FinishReason;
    readonly promptTokens: number;
  };

/** What an engine is ordered to become. */
export interface EngineTarget {
  readonly role: EngineRole;
  readonly models: readonly ModelVersion[];
}

/** A model with its adapters at one version. */
export interface ModelVersion {
  readonly model: ModelName;
  readonly version: string;
  readonly adapters: readonly string[];
}

/** Progress of the newest order on an engine. */
export enum OrderProgress {
  None = "none",
  Running = "running",
  Finished = "finished",
  Failed = "failed",
}

/** State of an engine as read from itself. */
export interface EngineState {
  readonly startId: string;
  readonly target: EngineTarget;
  /** Highest fencing number the engine has accepted; 0 where it ignores them. */
  readonly fence: LogPosition;
  /** Fencing number of the newest order the engine has run or runs. */
  readonly order: LogPosition;
  readonly progress: OrderProgress;
  readonly running: number;
  readonly queued: number;
  /** Count of reads and reports since the engine's start. */
  readonly sequence: number;
}

/** An order to an engine. */
export interface EngineOrder {
  /** Position of the order's record in the control stream. */
  readonly fence: LogPosition;
  readonly target: EngineTarget;
  /** Raises the engine's fencing number and changes nothing else. */
  readonly fenceOnly: boolean;
}

/** A model engine. */
export interface EngineClient {
  /** Streams numbered tokens; numbering goes on after `resumeTokens`. */
  readonly generate: (
    request: GenerateRequest,
    signal: AbortSignal,
  ) => AsyncIterable<GenerateEvent>;
  /** Continues a generation that the engine still holds, from a token index. */
  readonly resume: (
    attempt: { readonly attemptId: string; readonly fromIndex: number },
    signal: AbortSignal,
  ) => AsyncIterable<GenerateEvent>;
  /** Ends a generation and frees its memory; does nothing when it is gone. */
  readonly cancel: (attemptId: string) => Promise<void>;
  readonly fetchLoad: (signal?: AbortSignal) => Promise<LoadReport>;
  readonly fetchState: (signal?: AbortSignal) => Promise<EngineState>;
  /** Resolves once the engine has accepted the order, not when it is finished. */
  readonly order: (
    order: EngineOrder,
    signal?: AbortSignal,
  ) => Promise<EngineState>;
  /** Computes a prompt and resolves to a handle of its KV cache. */
  readonly exportKv: (
    request: GenerateRequest,
    signal: AbortSignal,
  ) => Promise<string>;
}

/** A call to a plain service. */
export interface ServiceRequest {
  readonly method: string;
  /** Path below the service, with query. */
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: string;
  /** Idempotency key, unique to the caller, where the call must not repeat. */
  readonly key?: string;
}

/** Answer of a plain service. */
export interface ServiceAnswer {
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: string;
}

/** A plain service process. */
export interface ServiceClient {
  readonly call: (
    request: ServiceRequest,
    signal: AbortSignal,
  ) => Promise<ServiceAnswer>;
  /** Looks a call up by key; undefined when the service has not run it. */
  readonly lookUp?: (
    key: string,
    signal?: AbortSignal,
  ) => Promise<ServiceAnswer | undefined>;
  /** Proves that the connection is alive. */
  readonly ping: (signal?: AbortSignal) => Promise<void>;
}

/** Opens clients by address; passed to whatever needs to reach an endpoint. */
export interface EndpointClients {
  readonly openEngine: (
    endpoint: EndpointName,
    address: string,
  ) => EngineClient;
  readonly openService: (
    endpoint: EndpointName,
    address: string,
  ) => ServiceClient;
}
