/** Streams that have begun, and the software versions that began them. */
export { streamEvents } from "./events.ts";
export {
  createStreamOrigins,
  type OriginReports,
  originRetentionMs,
  type StreamOrigin,
  type StreamOrigins,
  type StreamOriginsOptions,
} from "./stream_origins.ts";
export {
  createVersionHistory,
  type VersionHistory,
} from "./version_history.ts";
export {
  keepVersionRecord,
  type RecordedVersion,
  type VersionRecord,
  type VersionRecordOptions,
} from "./version_record.ts";
