/** The routing configuration in force at an entry, with its routes and keys. */
import {
  buildRouteIndex,
  createKeyDirectory,
  fleetEvents,
  type KeyDirectory,
  type LogEvent,
  type RouteIndex,
  type RoutingConfiguration,
} from "@trefoildoor/core";

/** Newest configuration that the entry knows. */
export interface ConfigurationInForce {
  /** Undefined before the first. */
  readonly get: () => RouteIndex | undefined;
  readonly keys: KeyDirectory;
  /** Puts a configuration in force unless a newer one is; `from` names its source for the log. */
  readonly apply: (configuration: RoutingConfiguration, from: string) => void;
}

/** Starts without a configuration; `onVersion` is called with each one that comes into force. */
export function createConfigurationInForce(
  { onVersion, logEvent }: {
    readonly onVersion: (version: RouteIndex) => void;
    readonly logEvent: LogEvent;
  },
): ConfigurationInForce {
  const keys = createKeyDirectory({ logEvent });
  let inForce: RouteIndex | undefined;
  return {
    get: () => inForce,
    keys,
    apply(configuration, from): void {
      const { version, routes, workspaces } = configuration;
      if (inForce && version <= inForce.version) {
        return logEvent(fleetEvents.configurationOlder, {
          version,
          inForce: inForce.version,
          from,
        });
      }
      inForce = buildRouteIndex(configuration);
      keys.apply(workspaces, version);
      logEvent(fleetEvents.configurationInForce, {
        version,
        routes: routes.length,
        from,
      });
      onVersion(inForce);
    },
  };
}
