/** How much each endpoint takes well: learnt from its answers, its own figures and the reports of peers. */
export { type CapacitiesOptions, createCapacities } from "./capacities.ts";
export {
  type Capacities,
  type DoneWork,
  type EndpointKey,
  type SpeedReports,
} from "./capacity_types.ts";
export { capacityEvents } from "./events.ts";
export { estimateNewsWeight, getNewsLagMs } from "./news_age.ts";
export {
  createPromptSpeeds,
  initialFixedMs,
  type PromptReports,
  type PromptSpeeds,
  type PromptTime,
} from "./prompt_speeds.ts";
