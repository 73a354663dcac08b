/**
 * This instance's copy of the platform's list of endpoints: built from the
 * records of the list's topic, and from snapshots of other instances while the
 * store is unreachable.
 */
import { type LogEvent, logEvent } from "../../shared/index.ts";
import type {
  EndpointName,
  ListedEndpoint,
  ServiceName,
  TopicRecord,
} from "../../types/index.ts";
import { fleetEvents } from "./events.ts";
import { createLeaveNotices, type LeaveReports } from "./leave_notices.ts";

/** Content of the list up to an offset of its topic. */
export interface EndpointSnapshot {
  readonly next: number;
  /** Offset up to which the list must be read to include its last relevant change, at times above `next`; repeated registrations are not relevant. */
  readonly changed: number;
  readonly endpoints: readonly ListedEndpoint[];
  /** Endpoints that lapsed during a store outage and may still register again. */
  readonly lapsed: readonly EndpointName[];
}

/** The listed endpoints, with those that lapsed during a store outage. */
export interface EndpointList {
  readonly get: (name: EndpointName) => ListedEndpoint | undefined;
  /** Endpoints of a service that accept new work. */
  readonly listAccepting: (service: ServiceName) => readonly ListedEndpoint[];
  /** Whether the process that an entry describes is still listed and accepts new work. */
  readonly isAccepting: (endpoint: ListedEndpoint) => boolean;
  /** Records that a process told this instance that it leaves; it takes no new work from then on, whatever the list says. */
  readonly recordLeaving: (endpoint: ListedEndpoint) => void;
  /** Records the same of processes that told a peer. */
  readonly applyLeaving: (reports: LeaveReports, peer: string) => void;
  /** What processes told this instance and the store does not say yet; undefined if there is nothing. */
  readonly collectLeaving: () => LeaveReports | undefined;
  /** All endpoints, including leaving ones. */
  readonly listAll: () => readonly ListedEndpoint[];
  /** Applies records of the list's topic; with `whole`, endpoints without a record are removed. */
  readonly apply: (page: {
    readonly records: readonly TopicRecord<ListedEndpoint>[];
    readonly next: number;
    readonly whole: boolean;
  }) => void;
  /** Replaces the list by another instance's if that is newer; false if it is not. */
  readonly merge: (snapshot: EndpointSnapshot) => boolean;
  /** Marks the list as read up to an offset, as no relevant record came before it. */
  readonly advanceTo: (next: number) => void;
  readonly getSnapshot: () => EndpointSnapshot;
  /** The offsets of the snapshot, without the cost of copying the list. */
  readonly getOffsets: () => Pick<EndpointSnapshot, "next" | "changed">;
}

/** Dependencies of the list. */
export interface EndpointListOptions {
  /** Time since the store became readable again after an outage, in ms; Infinity if there was none. */
  readonly getSinceRecoveryMs: () => number;
  /** Whether the store may still list entries of an older copy; any entry that its process has replaced since is then ignored, otherwise one that would undo its leaving. */
  readonly isRestoring?: () => boolean;
  /** Called with each endpoint that is removed or whose process was restarted. */
  readonly onReplaced?: (endpoint: ListedEndpoint) => void;
  readonly logEvent?: LogEvent;
}

/**
 * Time after a store outage in which lapsed endpoints register again, in ms:
 * the platform promises about 2 s.
 */
const reregistrationMs = 2_500;

/** Processes whose newest entry is remembered after they were removed. */
const maxRemoved = 1_024;

interface Entry {
  /** As the store lists it. */
  readonly listed: ListedEndpoint;
  /** The same, and leaving if its process has said so. */
  readonly endpoint: ListedEndpoint;
  /** When a lapsed endpoint is removed, on the monotonic clock; undefined while the endpoint is listed. */
  expiryMs?: number;
}

/** Creates an empty list at offset 0. */
export function createEndpointList(options: EndpointListOptions): EndpointList {
  const log = options.logEvent ?? logEvent;
  const entries = new Map<EndpointName, Entry>();
  const notices = createLeaveNotices();
  let next = 0;
  let changed = 0;
  let hasChanged = false;
  /** Newest entries of processes that were removed, oldest first. */
  const removed = new Map<EndpointName, ListedEndpoint>();

  /** Whether an entry is of an earlier state of its process than the known one and must not replace it. */
  function isOutdated(endpoint: ListedEndpoint): boolean {
    const { name, sequence, startedAtMs } = endpoint;
    const listed = entries.get(name)?.listed;
    const known = listed ?? removed.get(name);
    if (sequence === undefined || !known || isRestart(known, endpoint)) {
      return false;
    }
    const knownSequence = known.sequence ?? -Infinity;
    if (options.isRestoring?.()) {
      return listed ? sequence < knownSequence : sequence <= knownSequence;
    }
    // A write that takes effect late must not undo a later one.
    const undoes = !endpoint.leaving && (!listed || listed.leaving);
    return undoes && startedAtMs !== undefined && sequence < knownSequence;
  }

  function setEndpoint(listed: ListedEndpoint): void {
    const known = entries.get(listed.name);
    if (isOutdated(listed)) {
      return log(fleetEvents.endpointOutdated, {
        ...describe(listed, next),
        sequence: listed.sequence,
      });
    }
    const endpoint = applyNotice(listed);
    entries.set(endpoint.name, { listed, endpoint });
    if (!known || !isSame(known.listed, listed)) hasChanged = true;
    if (known && isRestart(known.endpoint, endpoint)) {
      options.onReplaced?.(known.endpoint);
    }
    if (!known || isRestart(known.endpoint, endpoint)) {
      log(fleetEvents.endpointListed, describe(endpoint, next));
    }
    if (listed.leaving && !known?.listed.leaving) {
      log(fleetEvents.endpointLeaving, describe(endpoint, next));
    }
  }

  function applyNotice(listed: ListedEndpoint): ListedEndpoint {
    return notices.has(listed) ? { ...listed, leaving: true } : listed;
  }

  /** Applies a new notice to the entry of its endpoint. */
  function markLeaving(name: EndpointName, from: string): void {
    const known = entries.get(name);
    log(fleetEvents.leaveAnnounced, {
      endpoint: name,
      from,
      listedLeaving: known?.listed.leaving,
    });
    if (!known) return;
    entries.set(name, { ...known, endpoint: applyNotice(known.listed) });
  }

  function removeEndpoint(name: EndpointName): void {
    const known = entries.get(name);
    if (!known) {
      // Peers may still list it.
      hasChanged = true;
      return;
    }
    if (known.expiryMs !== undefined) return;
    const sinceRecoveryMs = options.getSinceRecoveryMs();
    if (sinceRecoveryMs < reregistrationMs && !known.endpoint.leaving) {
      known.expiryMs = performance.now() + reregistrationMs -
        sinceRecoveryMs;
      // Peers decide by their own reads whether there was an outage, so they
      // need this change as well.
      hasChanged = true;
      log(fleetEvents.endpointHeldOver, describe(known.endpoint, next));
      return;
    }
    deleteEntry(known.endpoint);
  }

  function deleteEntry(endpoint: ListedEndpoint): void {
    entries.delete(endpoint.name);
    removed.delete(endpoint.name);
    removed.set(endpoint.name, endpoint);
    const [oldest] = removed.keys();
    if (removed.size > maxRemoved && oldest !== undefined) {
      removed.delete(oldest);
    }
    hasChanged = true;
    log(fleetEvents.endpointGone, describe(endpoint, next));
    options.onReplaced?.(endpoint);
  }

  function removeExpired(): void {
    const nowMs = performance.now();
    for (const { endpoint, expiryMs } of entries.values()) {
      if (expiryMs !== undefined && expiryMs <= nowMs) deleteEntry(endpoint);
    }
  }

  function listAll(): readonly ListedEndpoint[] {
    removeExpired();
    return [...entries.values()].map(({ endpoint }) => endpoint);
  }

  return {
    get(name): ListedEndpoint | undefined {
      removeExpired();
      return entries.get(name)?.endpoint;
    },
    listAll,
    isAccepting(endpoint): boolean {
      const listed = entries.get(endpoint.name)?.endpoint;
      return listed !== undefined && !listed.leaving &&
        !isRestart(listed, endpoint);
    },
    listAccepting: (service) =>
      listAll().filter((endpoint) =>
        endpoint.service === service && !endpoint.leaving
      ),
    recordLeaving(endpoint): void {
      if (notices.add(endpoint)) markLeaving(endpoint.name, "endpoint");
    },
    applyLeaving(reports, peer): void {
      for (const [name, startedAtMs] of Object.entries(reports)) {
        if (notices.addReport(name, startedAtMs)) markLeaving(name, peer);
      }
    },
    collectLeaving(): LeaveReports | undefined {
      const told = [...entries.values()].flatMap(({ listed }) =>
        listed.startedAtMs !== undefined && !listed.leaving &&
          notices.isOwn(listed)
          ? [[listed.name, listed.startedAtMs]]
          : []
      );
      return told.length > 0 ? Object.fromEntries(told) : undefined;
    },
    apply(page): void {
      // A peer's update may have arrived while this older state was read.
      if (page.whole && page.next < next) return;
      if (page.whole) {
        const listed = new Set(page.records.map(({ key }) => key));
        for (const name of [...entries.keys()]) {
          if (!listed.has(name)) removeEndpoint(name);
        }
        // Removals since the last page are not among its records.
        if (page.next > next) hasChanged = true;
      }
      for (const { key, value } of page.records) {
        if (value) setEndpoint(value);
        else removeEndpoint(key);
      }
      next = Math.max(next, page.next);
      removeExpired();
      // The offset of the page, so that a peer that is behind it sees that it
      // misses a change; later pages of the newest records have higher offsets.
      if (hasChanged) {
        changed = page.records.reduce(
          (end, { offset }) => Math.max(end, offset + 1),
          next,
        );
      }
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
        if (!listed.has(endpoint.name)) deleteEntry(endpoint);
        // This instance decides by its own reads whether there was an outage.
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
      endpoints: listAll().flatMap(({ name }) =>
        entries.get(name)?.listed ?? []
      ),
      lapsed: [...entries.values()]
        .filter(({ expiryMs }) => expiryMs !== undefined)
        .map(({ endpoint }) => endpoint.name),
    }),
  };
}

function isSame(known: ListedEndpoint, now: ListedEndpoint): boolean {
  return !isRestart(known, now) && known.role === now.role &&
    known.leaving === now.leaving && known.service === now.service &&
    known.softwareVersion === now.softwareVersion &&
    known.failureDomain === now.failureDomain && known.slots === now.slots &&
    JSON.stringify(known.weightsVersions) ===
      JSON.stringify(now.weightsVersions);
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
    softwareVersion: endpoint.softwareVersion ?? "none",
    offset: next,
  };
}
