/** Completions: admission, engine choice, retries and streaming. */
export { recordEngineCrash } from "./attempt_ends.ts";
export { createInFlightRequests, type InFlightRequests } from "./in_flight.ts";
export {
  type CompletionContext,
  createCompletionDependencies,
  type VersionRouting,
} from "./dependencies.ts";
export {
  createPromptCrashes,
  type PromptCrashes,
  type PromptRequest,
} from "./prompt_crashes.ts";
export { streamCompletion } from "./stream_completion.ts";
export {
  type AdmittedRequest,
  AttemptEnd,
  type AttemptWork,
  type CompletionCall,
  type CompletionDependencies,
  type CompletionEvent,
  type CompletionRoute,
} from "./types.ts";
