/** Clients of all endpoints, one set of connections for each address. */
import {
  type HttpConnectionOptions,
  type HttpConnections,
  openHttpConnections,
} from "../http/index.ts";
import { createHeldBytes } from "../../shared/index.ts";
import type { EndpointClients } from "../../types/endpoints.ts";
import type { EndpointName } from "../../types/names.ts";
import { createEngineClient } from "./engine_client.ts";
import type { EndpointListeners } from "./observations.ts";
import { createProbe, type EndpointProbe, type ProbeKind } from "./probes.ts";
import { createServiceClient } from "./service_client.ts";

/** Settings of the clients. */
export interface EndpointClientOptions extends EndpointListeners {
  readonly connections?: HttpConnectionOptions;
}

/** Clients of engines and services, with control over their connections. */
export interface OpenEndpointClients extends EndpointClients {
  /** Opens the probe of an endpoint, over the connections of its client. */
  readonly openProbe: (
    target: { readonly endpoint: EndpointName; readonly address: string },
    kind: ProbeKind,
  ) => EndpointProbe;
  /** Closes the connections of an endpoint that was removed. */
  readonly closeEndpoint: (endpoint: EndpointName) => Promise<void>;
  readonly close: () => Promise<void>;
}

/** Most bytes that are held of answers to calls, in all. */
const maxHeldBytes = 64 * 1_048_576;

interface OpenConnections {
  readonly address: string;
  readonly connections: HttpConnections;
}

/** Opens clients of engines and services over undici. */
export function openEndpointClients(
  options: EndpointClientOptions = {},
): OpenEndpointClients {
  const open = new Map<EndpointName, OpenConnections>();
  const held = createHeldBytes(maxHeldBytes);
  const closeEndpoint = async (endpoint: EndpointName): Promise<void> => {
    const entry = open.get(endpoint);
    open.delete(endpoint);
    await entry?.connections.close();
  };
  const getConnections = (
    endpoint: EndpointName,
    address: string,
  ): HttpConnections => {
    const known = open.get(endpoint);
    if (known?.address === address) return known.connections;
    // The address changed; calls in flight at the old address run to their end.
    known?.connections.replace();
    const connections = openHttpConnections(address, options.connections);
    open.set(endpoint, { address, connections });
    return connections;
  };
  return {
    openEngine: (endpoint, address) =>
      createEngineClient(getConnections(endpoint, address), {
        endpoint,
        listeners: options,
      }),
    openService: (endpoint, address) =>
      createServiceClient(getConnections(endpoint, address), {
        endpoint,
        listeners: options,
        held,
      }),
    openProbe: ({ endpoint, address }, kind) =>
      createProbe(getConnections(endpoint, address), kind),
    closeEndpoint,
    close: async () => {
      await Promise.all([...open.keys()].map(closeEndpoint));
    },
  };
}
