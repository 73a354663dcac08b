/** Software versions that endpoints of each service have had lately. */
import type { ListedEndpoint, ServiceName } from "../../types/index.ts";

/** Versions of each service in the list of endpoints, for some time after they have gone. */
export interface VersionHistory {
  /** Versions that the list has or had within the retention; an endpoint that states none counts as "". */
  readonly list: (service: ServiceName) => readonly string[];
}

/** Bound of remembered versions over all services. */
const maxVersions = 1_024;

/** Creates a history that reads the list whenever it is asked. */
export function createVersionHistory(options: {
  readonly listEndpoints: () => readonly ListedEndpoint[];
  /** Time for which a version is remembered, in ms. */
  readonly retentionMs: number;
}): VersionHistory {
  /** Time of the last look at each version by service, the latest last. */
  const seen = new Map<string, {
    readonly service: ServiceName;
    readonly version: string;
    readonly atMs: number;
  }>();

  function update(): void {
    const nowMs = performance.now();
    for (const { service, softwareVersion = "" } of options.listEndpoints()) {
      const key = JSON.stringify([service, softwareVersion]);
      seen.delete(key);
      seen.set(key, { service, version: softwareVersion, atMs: nowMs });
    }
    for (const [key, { atMs }] of seen) {
      const expired = nowMs - atMs > options.retentionMs;
      if (!expired && seen.size <= maxVersions) return;
      seen.delete(key);
    }
  }

  return {
    list(service): readonly string[] {
      update();
      return [...seen.values()]
        .filter((each) => each.service === service)
        .map(({ version }) => version);
    },
  };
}
