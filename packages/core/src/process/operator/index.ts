/** Calls to the operator that one instance at a time makes. */
export { operatorEvents } from "./events.ts";
export { createPacedApi } from "./paced_api.ts";
export { createPause, type Pause } from "./pause.ts";
export {
  createUsageReporter,
  type UsageReporter,
  type UsageReporterOptions,
} from "./report_usage.ts";
