/** HTTP connections to the platform and to endpoints. */
export { findHeadFault } from "./answer_heads.ts";
export {
  boundedReads,
  buildInterimError,
  createInterimCounter,
  maxHeadBytes,
  recordProgress,
} from "./bounded_reads.ts";
export { watchResets } from "./connection_resets.ts";
export {
  type HttpAnswer,
  type HttpCall,
  type HttpConnectionOptions,
  type HttpConnections,
  openHttpConnections,
} from "./http_connection.ts";
export { convertError, readText, RemoteRefusal } from "./http_errors.ts";
export { ConnectionAttempt, tryConnection } from "./try_connection.ts";
