/** Completions: admission, engine choice, retries and streaming. */
export { createInFlight, type InFlight } from "./in_flight.ts";
export {
  type CompletionContext,
  createCompletionParts,
  type VersionRoutes,
} from "./parts.ts";
export { streamCompletion } from "./stream_completion.ts";
export {
  type AdmittedWork,
  AttemptEnd,
  type AttemptWork,
  type CompletionCall,
  type CompletionEvent,
  type CompletionParts,
  type CompletionRoute,
} from "./types.ts";
