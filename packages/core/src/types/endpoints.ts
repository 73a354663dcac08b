/**
 * Client interfaces of endpoints. Adapters in `connection/endpoint` implement
 * them over HTTP, tests with plain functions. All reject with `RemoteError`.
 */
import type { EndpointName, LogPosition, ModelName } from "./names.ts";

/** Which phases of a generation an engine runs. */
export enum EngineRole {
  /** Computes prompts and exports their KV cache. */
  Prefill = "prefill",
  /** Generates from imported KV cache. */
  Decode = "decode",
  /** Runs prefill and decode. */
  Mixed = "mixed",
}

/** Scheduling priority of a request at its engine; higher values run first. */
export enum Priority {
  Batch = 0,
  Normal = 1,
  Interactive = 2,
}

/** Tokens per block of KV cache memory. */
export const kvBlockTokens = 1_000;

/** Load that an engine reports; it is out of date by `ageMs` and the time of transport. */
export interface LoadReport {
  /** Number of reports since the engine's start; orders reports with the same `startId`. */
  readonly sequence: number;
  /** Differs after each start of the engine. */
  readonly startId: string;
  /** Age of the figures when the report was sent, in ms. */
  readonly ageMs: number;
  readonly role: EngineRole;
  /** True while the engine accepts no new work, for instance during a role change. */
  readonly changing: boolean;
  readonly running: number;
  readonly queued: number;
  /** Prompt tokens queued or in prefill. */
  readonly queuedPromptTokens: number;
  readonly kvBlocksUsed: number;
  readonly kvBlocksTotal: number;
  /** Recent speeds in tokens per second. */
  readonly prefillTokensPerSecond: number;
  readonly decodeTokensPerSecond: number;
  /** Digests of cached prompt prefixes, one per full KV block, most recent first. */
  readonly cachedPrefixes: readonly string[];
  /** Requests a second that the engine takes from all instances together; absent without a limit. */
  readonly requestsPerSecond?: number;
  /** Version of the engine's software, which has no order; absent if it is not stated. */
  readonly softwareVersion?: string;
}

/** Request for one completion. */
export interface GenerateRequest {
  /** Unique for each attempt; retries of a call use new ids. */
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

/** Role and models that an order sets on an engine. */
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

/** State of an engine, read directly from it. */
export interface EngineState {
  readonly startId: string;
  readonly target: EngineTarget;
  /** Highest fencing number that the engine has accepted; 0 if it ignores them. */
  readonly fence: LogPosition;
  /** Fencing number of the newest order that the engine has started. */
  readonly order: LogPosition;
  readonly progress: OrderProgress;
  readonly running: number;
  readonly queued: number;
  /** Number of state reads and load reports since the engine's start. */
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

/** Client of one model engine. */
export interface EngineClient {
  /** Streams numbered tokens; the first index is the length of `resumeTokens`. */
  readonly generate: (
    request: GenerateRequest,
    signal: AbortSignal,
  ) => AsyncIterable<GenerateEvent>;
  /** Continues a generation that the engine still holds, from a token index. */
  readonly resume: (
    attempt: { readonly attemptId: string; readonly fromIndex: number },
    signal: AbortSignal,
  ) => AsyncIterable<GenerateEvent>;
  /** Ends a generation and frees its memory; does nothing if it no longer exists. */
  readonly cancel: (attemptId: string) => Promise<void>;
  readonly fetchLoad: (signal?: AbortSignal) => Promise<LoadReport>;
  readonly fetchState: (signal?: AbortSignal) => Promise<EngineState>;
  /** Resolves when the engine has accepted the order, before the order is finished. */
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
  /** Path relative to the service's root, with query. */
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: string;
  /** Idempotency key, unique per caller, of a call that must not run twice. */
  readonly key?: string;
  /** Whether the call may run more than once; any other is sent over a connection of its own. */
  readonly repeatable?: boolean;
}

/** Answer of a plain service. */
export interface ServiceAnswer {
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: string;
}

/** Client of one process of a plain service. */
export interface ServiceClient {
  readonly call: (
    request: ServiceRequest,
    signal: AbortSignal,
  ) => Promise<ServiceAnswer>;
  /** Fetches the answer of an earlier call by its key; resolves to undefined if the service has not run it. */
  readonly lookUp?: (
    key: string,
    signal?: AbortSignal,
  ) => Promise<ServiceAnswer | undefined>;
  /** Resolves if the connection is alive. */
  readonly ping: (signal?: AbortSignal) => Promise<void>;
}

/** Factory of endpoint clients; addresses are IP number and port. */
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
