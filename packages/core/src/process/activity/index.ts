/** Counters of the instances' calls, for usage reports and scaling. */
export type {
  ActivityRecorder,
  ActivityReport,
  OfferedCall,
  OfferedWork,
  WindowCounts,
} from "./activity_types.ts";
export { createActivityRecorder } from "./activity_recorder.ts";
export { type AgreedTime, createAgreedTime } from "./agreed_time.ts";
export {
  type ActivityCollector,
  type ActivitySource,
  createActivityCollector,
} from "./collect_activity.ts";
