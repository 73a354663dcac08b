/** Types of a completion, its events and its dependencies. */
import type { Either } from "purify-ts";
import type {
  BundleCaller,
  EndpointName,
  EngineClient,
  FinishReason,
  ModelName,
  Priority,
  Refusal,
} from "../../types/index.ts";

/** A caller's completion request. */
export interface CompletionCall {
  readonly requestId: string;
  readonly caller: BundleCaller;
  readonly model: ModelName;
  readonly adapter?: string;
  readonly prompt: string;
  /** Estimated length of the prompt, in tokens. */
  readonly promptTokens: number;
  /** Digests of the prompt's full KV blocks, shortest prefix first. */
  readonly prefixes: readonly string[];
  readonly maxTokens: number;
  readonly priority: Priority;
  /** Longest time from the request's arrival to the last token, in ms. */
  readonly deadlineMs: number;
  /** Digest of model and prompt; a repeat of the request has the same digest. */
  readonly digest: string;
  readonly seed?: number;
}

/** Event of a completion's stream; `refused` and `finish` are final. */
export type CompletionEvent =
  | { readonly kind: "token"; readonly index: number; readonly text: string }
  | {
    readonly kind: "finish";
    readonly reason: FinishReason;
    readonly promptTokens: number;
  }
  | { readonly kind: "refused"; readonly refusal: Refusal };

/** Handle of an admitted request, which holds its reserved share and memory. */
export interface AdmittedRequest {
  readonly recordFirstToken: () => void;
  /** Releases the reserved share and memory; `useful` if the answer was complete in time. */
  readonly close: (
    result: { readonly outputTokens: number; readonly useful: boolean },
  ) => void;
}

/** Engine chosen for one attempt, with its estimates. */
export interface CompletionRoute {
  readonly engine: EndpointName;
  /** Engine that computes the prompt first and exports its KV cache. */
  readonly prefillEngine?: EndpointName;
  readonly expectedFirstTokenMs: number;
  /** Expected time between tokens, in ms. */
  readonly expectedTokenMs: number;
  /** Prompt tokens whose KV cache the engine holds. */
  readonly cachedTokens: number;
  /** Removes the request from its engines' in-flight counts; it was added when the route was chosen. */
  readonly release: () => void;
}

/** Reports an attempt's progress to the load estimates. */
export interface AttemptWork {
  readonly recordFirstToken: () => void;
  readonly recordToken: () => void;
  readonly close: () => void;
  /** Returns the longest wait for the next event before the stream counts as stalled, in ms. */
  readonly getStallTimeoutMs: () => number;
}

/** Result of an attempt at an engine. */
export enum AttemptEnd {
  Finished = "finished",
  /** The connection failed or the stream stalled. */
  Lost = "lost",
  /** The engine refused the request. */
  Refused = "refused",
  /** The caller disconnected or its deadline passed. */
  Abandoned = "abandoned",
}

/** Policies and clients that `streamCompletion` uses. */
export interface CompletionDependencies {
  readonly admit: (
    call: CompletionCall,
    signal: AbortSignal,
  ) => Promise<Either<Refusal, AdmittedRequest>>;
  readonly chooseRoute: (
    call: CompletionCall,
    excluded: ReadonlySet<EndpointName>,
    options: {
      readonly signal: AbortSignal;
      /** Software version that has delivered tokens, to which the route must keep; undefined before the first token. */
      readonly softwareVersion: string | undefined;
    },
  ) => Promise<Either<Refusal, CompletionRoute>>;
  /** Version of the engine's software; "" if it states none. */
  readonly getSoftwareVersion: (engine: EndpointName) => string;
  /** Whether the engine's limit leaves room to ask it for the rest of a broken stream; counts the request. */
  readonly allowResume: (engine: EndpointName, call: CompletionCall) => boolean;
  readonly getEngine: (engine: EndpointName) => EngineClient;
  /** Whether an engine has announced that it is leaving. */
  readonly isLeaving: (engine: EndpointName) => boolean;
  readonly openWork: (
    call: CompletionCall,
    route: CompletionRoute,
  ) => AttemptWork;
  /** Asks the retry budget for another attempt after one failed at the engine. */
  readonly allowRetry: (
    engine: EndpointName,
    progress: { readonly delivered: number },
  ) => boolean;
  /** Records how an attempt ended; after a lost one, resolves once the crash probe is over. */
  readonly handleAttemptEnd: (
    call: CompletionCall,
    attempt: {
      readonly engine: EndpointName;
      readonly end: AttemptEnd;
      /** Stops the crash probe once the caller disconnects or its deadline passes. */
      readonly signal: AbortSignal;
    },
  ) => Promise<void>;
}
