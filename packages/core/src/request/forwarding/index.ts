/** Forwarding of calls to endpoints without changing them: load balancing, retries, prefill placement and streaming. */
export {
  dropBody as dropAnswer,
  readBody as readAnswer,
} from "./answer_body.ts";
export {
  buildEndpointFailed,
  buildNotRun,
  buildStopping,
  buildTimedOut,
  GatewayStatus,
  isPromise,
} from "./ends.ts";
export { RepeatVerdict } from "./judge_repeat.ts";
export { createEventSplitter, type EventSplitter } from "./event_splitter.ts";
export { forwardEvents } from "./events.ts";
export {
  pickGenerator,
  placeGeneration,
  type Placement,
  type PlacementOptions,
} from "./place_generation.ts";
export { createRefusalProofs } from "./refusal_proofs.ts";
export { answerEnd, getPath, runForward } from "./run_forward.ts";
export { createStopBound, type StopBound } from "./stop_bound.ts";
export type {
  AnswerFraming,
  CallerAnswer,
  EndpointAnswer,
  EndpointSender,
  ForwardDependencies,
  ForwardEnd,
  SendOptions,
} from "./types.ts";
