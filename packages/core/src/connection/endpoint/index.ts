/** HTTP adapters of engines and services. */
export {
  type EndpointClientOptions,
  type OpenEndpointClients,
  openEndpointClients,
} from "./endpoint_clients.ts";
export { type EndpointListeners } from "./observations.ts";
