/** Crashes of endpoints under calls, and the calls that are refused because of them. */
export {
  type CrashReport,
  type CrashReports,
  type ProcessId,
  type StoredCrashes,
  type Trait,
  type TraitSuccess,
  type TraitVerdict,
} from "./crash_types.ts";
export {
  type AnswerTimes,
  type CrashWatch,
  type CrashWatchOptions,
  createCrashWatch,
  EndSign,
  Unsettled,
} from "./crash_watch.ts";
export { crashEvents } from "./events.ts";
export { isTrialOwner, type MayTry } from "./trials.ts";
