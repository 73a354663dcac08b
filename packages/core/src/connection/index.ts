/** Clients and monitoring of endpoints. */
export * from "./endpoint/index.ts";
export {
  boundedReads,
  buildInterimError,
  ConnectionAttempt,
  createInterimCounter,
  findHeadFault,
  maxHeadBytes,
  recordProgress,
  tryConnection,
  watchResets,
} from "./http/index.ts";
export * from "./peer/index.ts";
