/** Records the limits that endpoints name in their answers. */
import { type LogEvent, logEvent } from "../../shared/index.ts";
import type { EndpointName, ListedEndpoint } from "../../types/index.ts";
import { limitEvents } from "./events.ts";

/** Limits that one instance knows of. */
export interface EndpointLimits {
  /** Counts a request to an endpoint. */
  readonly recordSend: (endpoint: ListedEndpoint) => void;
  /** Records the limit that an endpoint's answer names, in requests a second; undefined if it names none. */
  readonly recordAnswer: (
    endpoint: ListedEndpoint,
    answer: { readonly perSecond: number | undefined; readonly step: string },
  ) => void;
}

/** Time over which the log counts this instance's requests, in ms. */
const countedMs = 4_000;

/** Creates a record without limits. */
export function createEndpointLimits(
  options: { readonly logEvent?: LogEvent } = {},
): EndpointLimits {
  const log = options.logEvent ?? logEvent;
  const limits = new Map<EndpointName, number>();
  const sends = new Map<EndpointName, number[]>();

  function countSends(name: EndpointName): number {
    const oldestMs = performance.now() - countedMs;
    const counted = (sends.get(name) ?? []).filter((ms) => ms >= oldestMs);
    sends.set(name, counted);
    return counted.length;
  }

  return {
    recordSend({ name }): void {
      countSends(name);
      sends.get(name)?.push(performance.now());
    },
    recordAnswer({ name }, { perSecond, step }): void {
      const former = limits.get(name);
      if (perSecond === former) return;
      const fields = { endpoint: name, perSecond, former, step };
      const ownSends = countSends(name);
      if (perSecond === undefined) {
        limits.delete(name);
        return log(limitEvents.limitEnded, { ...fields, ownSends });
      }
      limits.set(name, perSecond);
      log(limitEvents.limitNamed, { ...fields, ownSends });
    },
  };
}
