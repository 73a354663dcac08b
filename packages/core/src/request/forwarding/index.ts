/** Calls that are passed on to endpoints as they are. */
export { OwnStatus, refuseUnrun } from "./ends.ts";
export { createEventSplitter, type EventSplitter } from "./event_splitter.ts";
export { forwardEvents } from "./events.ts";
export {
  pickGenerator,
  placeGeneration,
  type Placement,
  type PlacementOptions,
} from "./place_generation.ts";
export { answerEnd, runForward } from "./run_forward.ts";
export type {
  AnswerFraming,
  CallerAnswer,
  EndpointAnswer,
  EndpointSender,
  ForwardEnd,
  ForwardParts,
  SendOptions,
} from "./types.ts";
