/** Limits that endpoints name for the requests of all instances together. */
export {
  createEndpointLimits,
  type EndpointLimits,
} from "./endpoint_limits.ts";
export { limitEvents } from "./events.ts";
