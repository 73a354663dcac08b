/** Monitoring tasks for all endpoints that an instance uses. */
import { type LogEvent } from "../../shared/index.ts";
import type { EndpointName } from "../../types/names.ts";
import { type EndpointObserver, monitorEndpoint } from "./keep_endpoint.ts";
import { type EndpointProbe, ProbeKind } from "./probes.ts";

/** An endpoint to observe. */
export interface WatchedEndpoint {
  readonly endpoint: EndpointName;
  readonly address: string;
  readonly kind: ProbeKind;
}

/** Listeners and dependencies of the monitoring tasks. */
export interface EndpointWatchOptions extends EndpointObserver {
  readonly openProbe: (endpoint: WatchedEndpoint) => EndpointProbe;
  /** Called when an endpoint is no longer in the list given to `follow`. */
  readonly onRemoved?: (endpoint: EndpointName) => void;
  readonly logEvent?: LogEvent;
}

/** Runs one monitoring task for each endpoint. */
export interface EndpointWatch {
  /** Starts tasks for new endpoints, restarts those whose address changed and ends those of missing ones. */
  readonly follow: (endpoints: readonly WatchedEndpoint[]) => void;
  readonly stop: () => void;
}

interface Task {
  readonly address: string;
  readonly abort: AbortController;
}

/** Creates a watch without endpoints; `follow` adds them. */
export function createEndpointWatch(
  options: EndpointWatchOptions,
): EndpointWatch {
  const tasks = new Map<EndpointName, Task>();
  const stopTask = (endpoint: EndpointName): void => {
    tasks.get(endpoint)?.abort.abort();
    tasks.delete(endpoint);
  };
  const startTask = (watched: WatchedEndpoint): void => {
    const abort = new AbortController();
    tasks.set(watched.endpoint, { address: watched.address, abort });
    void monitorEndpoint(watched.endpoint, {
      probe: options.openProbe(watched),
      observer: options,
      signal: abort.signal,
      logEvent: options.logEvent,
    });
  };
  return {
    follow: (endpoints) => {
      const wanted = new Map(
        endpoints.map((watched) => [watched.endpoint, watched]),
      );
      for (const [endpoint, { address }] of tasks) {
        if (wanted.get(endpoint)?.address === address) continue;
        stopTask(endpoint);
        if (!wanted.has(endpoint)) options.onRemoved?.(endpoint);
      }
      for (const watched of wanted.values()) {
        if (!tasks.has(watched.endpoint)) startTask(watched);
      }
    },
    stop: () => [...tasks.keys()].forEach(stopTask),
  };
}
