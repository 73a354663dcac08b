/** Links between an instance and the endpoints, and whether the instance is cut off from them. */
export { type ContactReports } from "./contacts.ts";
export {
  type EndpointLinks,
  type EndpointLinksOptions,
  watchEndpointLinks,
} from "./endpoint_links.ts";
export { linkEvents } from "./events.ts";
