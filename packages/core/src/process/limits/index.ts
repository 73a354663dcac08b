/** Limits that endpoints name for the requests of all instances together. */
export {
  createEndpointLimits,
  type EndpointLimits,
  type EndpointLimitsOptions,
  type LimitAnswer,
  type LimitedEndpoint,
  LimitStep,
} from "./endpoint_limits.ts";
export { limitEvents } from "./events.ts";
export type {
  LimitReport,
  LimitReports,
  ObservedLimit,
  ReportSource,
} from "./limit_types.ts";
