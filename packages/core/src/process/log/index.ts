/** Client of the platform's log: grouped appends, reads that follow a stream, and checkpoints. */
export { type BuildCheckpoint, type ReadCheckpoint } from "./checkpoints.ts";
export { logEvents } from "./events.ts";
export {
  followStream,
  type FollowStreamOptions,
  type StreamFollower,
} from "./follow_stream.ts";
export {
  buildGroup,
  type CheckedEntry,
  checkEntry,
  encodeGroup,
  EntryVerdict,
  foldEntry,
  getOffset,
  getPosition,
  listRecords,
  type StreamState,
} from "./groups.ts";
