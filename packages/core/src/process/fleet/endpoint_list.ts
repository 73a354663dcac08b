/**
 * The platform's list of endpoints as this instance knows it: folded from the
 * list's topic, and taken from other instances while the store is out of
 * reach.
 */
import { type LogEvent, logEvent } from "../../shared/index.ts";
import type {
  EndpointName,
  ListedEndpoint,
  ServiceName,
  TopicRecord,
} from "../../types/index.ts";
import { fleetEvents } from "./events.ts";

/** The list with the offset that it stands for. */
export interface EndpointSnapshot {
  readonly next: number;
  /** Offset up to which the list has to be read to hold its last change that matters. */
  readonly changed: number;
  readonly endpoints: readonly ListedEndpoint[];
  /** Endpoints that lapsed while the store was away and still have time to return. */
  readonly lapsed: readonly EndpointName[];
}

/** Listed endpoints. */
export interface EndpointList {
  readonly get: (name: EndpointName) => ListedEndpoint | undefined;
  /** Endpoints of a service that take new work. */
  readonly listTaking: (service: ServiceName) => readonly ListedEndpoint[];
  /** All endpoints, leaving ones as well. */
  readonly listAll: () => readonly ListedEndpoint[];
  /** Folds records of the list's topic. */
  readonly apply: (page: {
    readonly records: readonly TopicRecord<ListedEndpoint>[];
    readonly next: number;
    readonly whole: boolean;
  }) => void;
  /** Takes another instance's list if it is newer; tells whether it was. */
  readonly merge: (snapshot: EndpointSnapshot) => boolean;
  /** Notes that nothing that matters has changed up to an offset. */
  readonly advanceTo: (next: number) => void;
  readonly getSnapshot: () => EndpointSnapshot;
  /** The offsets of the snapshot alone; costs nothing. */
  readonly getOffsets: () => Pick<EndpointSnapshot, "next" | "changed">;
}

/** Options of the list. */
export interface EndpointListOptions {
  /** Time since the store could be read again, in ms; Infinity if it always could. */
  readonly getSteadyMs: () => number;
  /** Called with each endpoint that went, or whose process started anew. */
  readonly onReplaced?: (endpoint: ListedEndpoint) => void;
  readonly logEvent?: LogEvent;
}

/**
 * Time in which endpoints that lapsed while the store was away register
 * again, in ms: the platform promises about 2 s.
 */
const returnTimeMs = 2_500;

interface Entry {
  endpoint: ListedEndpoint;
  /** When the endpoint counts as gone; undefined while it is listed. */
  goneAtMs?: number;
}

/** Creates an empty list. */
export function createEndpointList(options: EndpointListOptions): EndpointList {
  const log = options.logEvent ?? logEvent;
  const entries = new Map<EndpointName, Entry>();
  let next = 0;
  let changed = 0;
  let hasChanged = false;

  function setEndpoint(endpoint: ListedEndpoint): void {
    const known = entries.get(endpoint.name);
    entries.set(endpoint.name, { endpoint });
    if (!known || !isSame(known.endpoint, endpoint)) hasChanged = true;
    if (known && isRestart(known.endpoint, endpoint)) {
      options.onReplaced?.(known.endpoint);
    }
    if (!known || isRestart(known.endpoint, endpoint)) {
      log(fleetEvents.endpointListed, describe(endpoint, next));
    }
    if (endpoint.leaving && !known?.endpoint.leaving) {
      log(fleetEvents.endpointLeaving, describe(endpoint, next));
    }
  }

  function removeEndpoint(name: EndpointName): void {
    const known = entries.get(name);
    if (!known || known.goneAtMs !== undefined) return;
    const steadyMs = options.getSteadyMs();
    if (steadyMs < returnTimeMs && !known.endpoint.leaving) {
      known.goneAtMs = performance.now() + returnTimeMs - steadyMs;
      // Others may know better whether the store was away.
      hasChanged = true;
      log(fleetEvents.endpointHeldOver, describe(known.endpoint, next));
      return;
    }
    removeGone(known.endpoint);
  }

  function removeGone(endpoint: ListedEndpoint): void {
    entries.delete(endpoint.name);
    hasChanged = true;
    log(fleetEvents.endpointGone, describe(endpoint, next));
    options.onReplaced?.(endpoint);
  }

  function removeLapsed(): void {
    const nowMs = performance.now();
    for (const { endpoint, goneAtMs } of entries.values()) {
      if (goneAtMs !== undefined && goneAtMs <= nowMs) removeGone(endpoint);
    }
  }

  function listAll(): readonly ListedEndpoint[] {
    removeLapsed();
    return [...entries.values()].map(({ endpoint }) => endpoint);
  }

  return {
    get(name): ListedEndpoint | undefined {
      removeLapsed();
      return entries.get(name)?.endpoint;
    },
    listAll,
    listTaking: (service) =>
      listAll().filter((endpoint) =>
        endpoint.service === service && !endpoint.leaving
      ),
    apply(page): void {
      if (page.whole) {
        const listed = new Set(page.records.map(({ key }) => key));
        for (const name of [...entries.keys()]) {
          if (!listed.has(name)) removeEndpoint(name);
        }
      }
      for (const { key, value } of page.records) {
        if (value) setEndpoint(value);
        else removeEndpoint(key);
      }
      next = Math.max(next, page.next);
      removeLapsed();
      // Told with the offset of a page, so that whoever is behind it notices.
      if (hasChanged) changed = next;
      hasChanged = false;
    },
    merge(snapshot): boolean {
      if (snapshot.next <= next) return false;
      next = snapshot.next;
      changed = snapshot.changed;
      const lapsed = new Set(snapshot.lapsed);
      const listed = new Set(snapshot.endpoints.map(({ name }) => name));
      for (const endpoint of snapshot.endpoints) {
        if (!lapsed.has(endpoint.name)) setEndpoint(endpoint);
      }
      for (const { endpoint } of [...entries.values()]) {
        if (!listed.has(endpoint.name)) removeGone(endpoint);
        // Whether the store was away is judged by what this instance has seen.
        if (lapsed.has(endpoint.name)) removeEndpoint(endpoint.name);
      }
      hasChanged = false;
      return true;
    },
    advanceTo(offset): void {
      next = Math.max(next, offset);
    },
    getOffsets: () => ({ next, changed }),
    getSnapshot: () => ({
      next,
      changed,
      endpoints: listAll(),
      lapsed: [...entries.values()]
        .filter(({ goneAtMs }) => goneAtMs !== undefined)
        .map(({ endpoint }) => endpoint.name),
    }),
  };
}

function isSame(known: ListedEndpoint, now: ListedEndpoint): boolean {
  return !isRestart(known, now) && known.role === now.role &&
    known.leaving === now.leaving && known.service === now.service &&
    known.failureDomain === now.failureDomain && known.slots === now.slots;
}

function isRestart(known: ListedEndpoint, now: ListedEndpoint): boolean {
  return known.startedAtMs !== now.startedAtMs ||
    known.address !== now.address;
}

function describe(
  endpoint: ListedEndpoint,
  next: number,
): Record<string, string | number> {
  return {
    endpoint: endpoint.name,
    service: endpoint.service,
    failureDomain: endpoint.failureDomain,
    role: endpoint.role ?? "none",
    offset: next,
  };
}
