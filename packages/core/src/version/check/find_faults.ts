/** Faults of a routing configuration that decodes: entries without effect, and limits that contradict each other. */
import { formatCount } from "../../shared/index.ts";
import {
  CallKind,
  type FailureDomain,
  type Finding,
  type ForwardRoute,
  type RoutedService,
  type RoutingConfiguration,
  type ScalingLimits,
} from "../../types/index.ts";

/** How serious a fault is. */
export enum FaultSeverity {
  /** Instances ignore the configuration, or calls fail under it. */
  Error = "error",
  /** An entry without effect, or one that contradicts another. */
  Warning = "warning",
}

/** A fault of a routing configuration. */
export interface ConfigurationFault extends Finding {
  readonly severity: FaultSeverity;
}

/** Message of a rule that is broken, or else false. */
type Verdict = string | false;

/** What the rules say of the entry at a path. */
interface CheckedEntry {
  readonly path: string;
  readonly errors?: readonly Verdict[];
  readonly warnings?: readonly Verdict[];
}

/** Hosts of calls are compared without their port. */
const hostWithPort = /:\d+$/;

/** Lists the faults in the order of the configuration. */
export function findFaults(
  configuration: RoutingConfiguration,
  options: {
    /** File name, or another name of the configuration. */
    readonly source: string;
    /** Configuration that the new one replaces. */
    readonly inForce?: RoutingConfiguration;
  },
): readonly ConfigurationFault[] {
  const { source, inForce } = options;
  const entries = [
    checkVersion(configuration, inForce),
    ...checkRoutes(configuration),
    ...checkServices(configuration),
    checkLimits(configuration),
    ...checkWorkspaces(configuration),
  ];
  return entries.flatMap(({ path, errors = [], warnings = [] }) => {
    const listFaults = (
      verdicts: readonly Verdict[],
      severity: FaultSeverity,
    ): readonly ConfigurationFault[] =>
      verdicts.filter((message) => message !== false)
        .map((message) => ({ severity, place: { source, path }, message }));
    return [
      ...listFaults(errors, FaultSeverity.Error),
      ...listFaults(warnings, FaultSeverity.Warning),
    ];
  });
}

function checkVersion(
  { version }: RoutingConfiguration,
  inForce: RoutingConfiguration | undefined,
): CheckedEntry {
  const broken = inForce !== undefined && version <= inForce.version &&
    `version ${version} is not above version ${inForce.version}, which is in force`;
  return { path: "version", errors: [broken] };
}

function checkRoutes(
  { routes, services }: RoutingConfiguration,
): readonly CheckedEntry[] {
  const firstByMatch = indexFirst(routes, getMatchKey);
  const firstByName = indexFirst(routes, ({ name }) => name);
  const serviceNames = new Set(services.map(({ name }) => name));
  return routes.flatMap((route, index) => {
    const path = `routes.${index}`;
    const chosen = firstByMatch.get(getMatchKey(route)) ?? route;
    return [
      {
        path,
        warnings: [
          chosen !== route &&
          `is never chosen, as route ${
            formatName(chosen.name)
          } before it has the same host and path prefix`,
          firstByName.get(route.name) !== route &&
          `has the name ${formatName(route.name)} of another route`,
          hostWithPort.test(route.host) &&
          "is never chosen, as hosts are compared without their port",
          !route.pathPrefix.startsWith("/") &&
          "is never chosen, as its path prefix does not begin with a slash",
        ],
      },
      checkRouteLimits(route, path),
      ...checkTargets(route, { path, serviceNames }),
    ];
  });
}

function checkRouteLimits(route: ForwardRoute, path: string): CheckedEntry {
  const { kind, resumable, timeoutMs, goalMs, maxEndpoints, targets } = route;
  const mayRepeat = kind === CallKind.Idempotent ||
    (kind === CallKind.Stream && resumable);
  const last = formatName(targets.at(-1)?.service ?? "");
  return {
    path,
    errors: [timeoutMs === 0 && "timeout is 0, so that all calls fail"],
    warnings: [
      goalMs > timeoutMs &&
      `latency objective of ${goalMs} ms is above the timeout of ${timeoutMs} ms`,
      maxEndpoints > 1 && !mayRepeat &&
      `names up to ${maxEndpoints} endpoints for a call, but its calls must not repeat`,
      targets.every(({ weight }) => weight === 0) &&
      `all weights are 0, so that all calls go to service ${last}`,
    ],
  };
}

function checkTargets(
  { targets }: ForwardRoute,
  { path, serviceNames }: {
    readonly path: string;
    readonly serviceNames: ReadonlySet<string>;
  },
): readonly CheckedEntry[] {
  const hasWeights = targets.some(({ weight }) => weight > 0);
  return targets.map(({ service, weight }, index) => ({
    path: `${path}.targets.${index}`,
    errors: [
      !serviceNames.has(service) &&
      `service ${formatName(service)} is not in the configuration`,
    ],
    warnings: [
      hasWeights && weight === 0 &&
      `service ${formatName(service)} has weight 0 and gets no calls`,
    ],
  }));
}

function checkServices(
  { routes, services }: RoutingConfiguration,
): readonly CheckedEntry[] {
  const firstByName = indexFirst(services, ({ name }) => name);
  const targeted = new Set(
    routes.flatMap(({ targets }) => targets.map(({ service }) => service)),
  );
  const domains = [...new Set(services.flatMap(listDomains))];
  return services.flatMap((service, index) => {
    const name = formatName(service.name);
    const path = `services.${index}`;
    const warnings = [
      firstByName.get(service.name) !== service &&
      `has the name ${name} of another service, which has no effect`,
      !targeted.has(service.name) && `service ${name} has no route`,
    ];
    if (!service.scaling) return [{ path, warnings }];
    const priced = new Set(listDomains(service));
    const missing = domains.filter((domain) => !priced.has(domain));
    return [{ path, warnings }, {
      path: `${path}.scaling`,
      ...checkScaling(service.scaling, missing),
    }];
  });
}

/** Checks a service's scaling; `missing` are failure domains in which only other services run. */
function checkScaling(
  scaling: ScalingLimits,
  missing: readonly FailureDomain[],
): Omit<CheckedEntry, "path"> {
  const { minEndpoints, maxEndpoints, reclaimablePrice = 0 } = scaling;
  const prices = Object.entries(scaling.domainPrices);
  const free = prices.filter(([, price]) => price === 0).map(([name]) => name);
  return {
    errors: [
      minEndpoints > maxEndpoints &&
      `fewest endpoints (${minEndpoints}) are above the most (${maxEndpoints})`,
    ],
    warnings: [
      prices.length === 0 &&
      "no failure domain has a price, so that no endpoint is ordered",
      prices.length > 0 && missing.length > 0 &&
      `no price for ${formatDomains(missing)}, where the service does not run`,
      free.length > 0 && `price is 0 in ${formatDomains(free)}`,
      reclaimablePrice >= 1 &&
      `reclaimable endpoints are never used at a price of ${reclaimablePrice}, which is not below the others'`,
    ],
  };
}

function checkLimits({ limits }: RoutingConfiguration): CheckedEntry {
  return {
    path: "limits",
    errors: [
      limits.maxBodyBytes === 0 &&
      "limit of bodies is 0 bytes, so that all calls with a body are refused",
    ],
    warnings: [limits.maxHeaderBytes === 0 && "limit of headers is 0 bytes"],
  };
}

function checkWorkspaces(
  { routes, workspaces }: RoutingConfiguration,
): readonly CheckedEntry[] {
  if (!workspaces) return [];
  const isOpen = routes.length > 0 &&
    routes.every(({ anonymous }) => anonymous);
  const keys = workspaces.reduce((sum, { keys }) => sum + keys.length, 0);
  return [
    {
      path: "workspaces",
      errors: [
        !isOpen && keys === 0 &&
        "there is no key, so that all calls that need one are refused",
      ],
      warnings: [
        isOpen && keys > 0 &&
        `${
          formatCount(keys, "key")
        } without effect, as all routes are anonymous`,
      ],
    },
    ...workspaces.map(({ name, keys }, index) => ({
      path: `workspaces.${index}`,
      warnings: [
        keys.length === 0 && `workspace ${formatName(name)} has no key`,
      ],
    })),
  ];
}

function listDomains({ scaling }: RoutedService): readonly string[] {
  return Object.keys(scaling?.domainPrices ?? {});
}

/** What decides whether a route matches a call. */
function getMatchKey({ host, pathPrefix }: ForwardRoute): string {
  return `${host.toLowerCase()} ${pathPrefix}`;
}

function indexFirst<T>(
  items: readonly T[],
  getKey: (item: T) => string,
): ReadonlyMap<string, T> {
  return new Map(items.toReversed().map((item) => [getKey(item), item]));
}

function formatDomains(domains: readonly FailureDomain[]): string {
  return `${domains.length === 1 ? "failure domain" : "failure domains"} ${
    domains.map(formatName).join(", ")
  }`;
}

/** Quotes a text that may hold control characters. */
function formatName(text: string): string {
  return JSON.stringify(text);
}
