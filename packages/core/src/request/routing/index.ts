/** Load balancing: engine state, latency estimates and the choice of a route. */
export {
  chooseRoute,
  getSoftwareVersion,
  type Route,
  type RouteOptions,
} from "./choose.ts";
export {
  countCachedTokens,
  estimateBacklogTokens,
  estimateMemoryWaitMs,
  estimatePrefillMs,
  estimateTokenMs,
  type RouteRequest,
} from "./estimate.ts";
export { findByRendezvous, sortByRendezvous } from "./hashing.ts";
export {
  createEndpointTable,
  type EndpointFlags,
  type EndpointTable,
  type EndpointTableOptions,
  type EngineView,
  type WorkSize,
  type WorkTicket,
} from "./table.ts";
