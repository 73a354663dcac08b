/** Routes of one version of the routing configuration. */
export { buildRouteIndex, type RouteIndex } from "./route_index.ts";
