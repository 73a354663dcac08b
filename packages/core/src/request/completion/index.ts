/** One completion from admission to its last token. */
export { streamCompletion } from "./run.ts";
export {
  type AdmittedWork,
  AttemptEnd,
  type AttemptWork,
  type CompletionCall,
  type CompletionEvent,
  type CompletionParts,
  type CompletionRoute,
} from "./types.ts";
