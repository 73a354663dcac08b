/** Detection and isolation of requests that crash engines. */
export type {
  CrashId,
  DigestEvidence,
  SuspectEvidence,
  Trial,
} from "./evidence.ts";
export {
  createSuspects,
  type Suspects,
  type SuspectsOptions,
  SuspectVerdict,
} from "./suspects.ts";
