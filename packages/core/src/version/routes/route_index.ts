/** Finds the route of a call by host and longest path prefix. */
import type {
  CallerLimits,
  ForwardRoute,
  RoutedService,
  RoutingConfiguration,
} from "../../types/forwarding.ts";
import type { ServiceName } from "../../types/names.ts";

/** One version of the routing configuration, indexed by host and service name. */
export interface RouteIndex {
  readonly version: number;
  readonly limits: CallerLimits;
  readonly configuration: RoutingConfiguration;
  /**
   * Route with the longest prefix of the path; undefined when none matches.
   * The host's port is ignored.
   */
  readonly findRoute: (
    host: string,
    path: string,
  ) => ForwardRoute | undefined;
  readonly getService: (name: ServiceName) => RoutedService | undefined;
  /**
   * Selects the service for a call among the route's targets by their weights;
   * `draw` is a uniform random number in [0, 1).
   */
  readonly pickService: (route: ForwardRoute, draw: number) => ServiceName;
}

/**
 * Indexes a configuration; the routes of each host are sorted by prefix
 * length, longest first.
 */
export function buildRouteIndex(
  configuration: RoutingConfiguration,
): RouteIndex {
  const routesByHost = new Map<string, ForwardRoute[]>();
  for (const route of configuration.routes) {
    const host = route.host.toLowerCase();
    routesByHost.set(host, [...(routesByHost.get(host) ?? []), route]);
  }
  for (const routes of routesByHost.values()) {
    routes.sort((left, right) =>
      right.pathPrefix.length - left.pathPrefix.length
    );
  }
  const services = new Map(
    configuration.services.map((service) => [service.name, service]),
  );
  return {
    version: configuration.version,
    limits: configuration.limits,
    configuration,
    findRoute(host, path): ForwardRoute | undefined {
      const name = removePort(host).toLowerCase();
      return routesByHost.get(name)?.find((route) =>
        path.startsWith(route.pathPrefix)
      );
    },
    getService: (name) => services.get(name),
    pickService,
  };
}

function pickService(route: ForwardRoute, draw: number): ServiceName {
  const total = route.targets.reduce((sum, target) => sum + target.weight, 0);
  let left = draw * total;
  for (const target of route.targets) {
    left -= target.weight;
    if (left < 0) return target.service;
  }
  return route.targets.at(-1)?.service ?? "";
}

function removePort(host: string): string {
  const colon = host.lastIndexOf(":");
  return colon > 0 ? host.slice(0, colon) : host;
}
