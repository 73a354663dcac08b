/** HTTP adapters of engines and services, and tasks that observe them. */
export {
  type EndpointClientOptions,
  type OpenEndpointClients,
  openEndpointClients,
} from "./endpoint_clients.ts";
export {
  createEndpointWatch,
  type EndpointWatch,
  type EndpointWatchOptions,
  type WatchedEndpoint,
} from "./endpoint_watch.ts";
export { endpointEvents } from "./events.ts";
export {
  type EndpointObserver,
  monitorEndpoint,
  type MonitorEndpointOptions,
} from "./keep_endpoint.ts";
export { type EndpointListeners } from "./observations.ts";
export {
  computePrefixDigests,
  type PrefixSource,
  splitTokens,
} from "./prefix_digests.ts";
export { type EndpointProbe, ProbeKind, type ProbeResult } from "./probes.ts";
