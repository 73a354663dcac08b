/** A completion, its events, and the functions that its run depends on. */
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

/** One completion as a caller asked for it. */
export interface CompletionCall {
  readonly requestId: string;
  readonly caller: BundleCaller;
  readonly model: ModelName;
  readonly adapter?: string;
  readonly prompt: string;
  /** Estimated length of the prompt. */
  readonly promptTokens: number;
  /** Digests of the prompt's full KV blocks, shortest prefix first. */
  readonly prefixes: readonly string[];
  readonly maxTokens: number;
  readonly priority: Priority;
  /** Time from arrival to the last token after which the answer is useless, in ms. */
  readonly deadlineMs: number;
  /** Digest of model and prompt, the same for a repeat of the request. */
  readonly digest: string;
  readonly seed?: number;
}

/** One event of a completion's answer. `refused` and `finish` are final. */
export type CompletionEvent =
  | { readonly kind: "token"; readonly index: number; readonly text: string }
  | {
    readonly kind: "finish";
    readonly reason: FinishReason;
    readonly promptTokens: number;
  }
  | { readonly kind: "refused"; readonly refusal: Refusal };

/** Place of a request among those that its instance runs. */
export interface AdmittedWork {
  readonly noteFirstToken: () => void;
  /** Returns the reserved share and memory; `useful` when the answer was complete in time. */
  readonly close: (
    result: { readonly outputTokens: number; readonly useful: boolean },
  ) => void;
}

/** Engine of one attempt. */
export interface CompletionRoute {
  readonly engine: EndpointName;
  /** Engine that computes the prompt first and exports its KV cache. */
  readonly prefillOn?: EndpointName;
  readonly expectedFirstTokenMs: number;
  /** Expected time between tokens, in ms. */
  readonly expectedTokenMs: number;
  /** Prompt tokens whose KV cache the engine holds. */
  readonly cachedTokens: number;
  /** Ends the count of the request at its engines, which began with the choice. */
  readonly release: () => void;
}

/** One attempt as the load estimates see it. */
export interface AttemptWork {
  readonly noteFirstToken: () => void;
  readonly noteToken: () => void;
  readonly close: () => void;
  /** Longest silence that the engine's load explains, in ms. */
  readonly getStallMs: () => number;
}

/** How an attempt at an engine ended. */
export enum AttemptEnd {
  Finished = "finished",
  /** The connection failed or went silent. */
  Lost = "lost",
  /** The engine refused the request. */
  Refused = "refused",
  /** The caller left or its deadline passed. */
  Abandoned = "abandoned",
}

/** Decisions and connections that a completion's run uses. */
export interface CompletionParts {
  readonly admit: (
    call: CompletionCall,
    signal: AbortSignal,
  ) => Promise<Either<Refusal, AdmittedWork>>;
  readonly choose: (
    call: CompletionCall,
    excluded: ReadonlySet<EndpointName>,
    options: { readonly signal: AbortSignal },
  ) => Promise<Either<Refusal, CompletionRoute>>;
  readonly getEngine: (engine: EndpointName) => EngineClient;
  readonly openWork: (
    call: CompletionCall,
    route: CompletionRoute,
  ) => AttemptWork;
  /** Asks for one more endpoint call on behalf of a request that had one. */
  readonly allowRetry: (
    engine: EndpointName,
    progress: { readonly delivered: number },
  ) => boolean;
  /** Resolves once it is known whether a lost attempt crashed its engine. */
  readonly noteAttemptEnd: (
    call: CompletionCall,
    attempt: {
      readonly engine: EndpointName;
      readonly end: AttemptEnd;
      /** Ends the search for a crash: nobody waits for the answer any more. */
      readonly signal: AbortSignal;
    },
  ) => Promise<void>;
}
