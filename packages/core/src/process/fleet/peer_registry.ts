/** Tracks the other instances: their registrations in the store and the digests that they send. */
import { type LogEvent, logEvent } from "../../shared/index.ts";
import type { FailureDomain, InstanceName } from "../../types/index.ts";
import type { CrashReports } from "../crashes/index.ts";
import type { LimitReports } from "../limits/index.ts";
import type { OriginReports } from "../streams/index.ts";
import type { DownEndpoints, PartReports } from "./endpoint_tracker.ts";
import { fleetEvents } from "./events.ts";
import type { ChangingEngine } from "./keep_roles.ts";
import type { ListUpdate } from "./list_updates.ts";
import type { LoadReports } from "./peer_reports.ts";

/** Registration of an instance in the store. */
export interface PeerAddress {
  readonly name: InstanceName;
  /** IP address and port at which the instance exchanges digests and snapshots with peers. */
  readonly address: string;
  readonly failureDomain: FailureDomain;
}

/** State that an instance sends to its peers repeatedly. */
export interface PeerDigest extends PeerAddress {
  /** Version of the active routing configuration; 0 before the first. */
  readonly version: number;
  /** Identifies one run of the instance's process; sequence numbers compare only within it. */
  readonly start: string;
  /** Number of the digest since the start; a digest with a lower number than the newest is dropped. */
  readonly sequence: number;
  /** When the digest was sent, in ms of the sender's monotonic clock; absent in digests of former versions. */
  readonly sentMs?: number;
  /** Offset up to which the list of endpoints was read. */
  readonly listNext: number;
  /** Offset up to which the list must be read to include its last change. */
  readonly listChanged: number;
  /** Age of the sender's list when the digest was sent, in ms. */
  readonly listAgeMs: number;
  /** Era of the store, 0 if absent; rises when it comes back from an older copy. */
  readonly storeEra?: number;
  /** Whether the instance reads the store on behalf of its failure domain. */
  readonly readsStore: boolean;
  readonly loads: LoadReports;
  readonly reads: PartReports;
  readonly down: DownEndpoints;
  readonly changing: readonly ChangingEngine[];
  /** News of crashes under calls; absent if there are none. */
  readonly crashes?: CrashReports;
  /** Limits of endpoints and the instance's own requests there; absent if there are none. */
  readonly limits?: LimitReports;
  /** Streams that the instance has begun while several software versions serve; absent if there are none. */
  readonly origins?: OriginReports;
  /** Whether the instance is shutting down. */
  readonly stopping: boolean;
  /** Recent changes of the list, sent by the instance that reads the store to the others of its failure domain. */
  readonly update?: ListUpdate;
}

/** Registered instances and the newest digest of each live one. */
export interface PeerRegistry {
  readonly register: (entry: PeerAddress) => void;
  /** Stores a received digest; false if it is this instance's own or older than the stored one. */
  readonly acceptDigest: (digest: PeerDigest) => boolean;
  /** All known instances except this one. */
  readonly listRegistered: () => readonly PeerAddress[];
  /** Newest digests of the instances that are live. */
  readonly listLive: () => readonly PeerDigest[];
  /** Number of live instances, including this one. */
  readonly countInstances: () => number;
}

/** Time without a digest after which an instance no longer counts as live, in ms: three of its heartbeats. */
const peerTimeoutMs = 3_000;
/** Time without a digest or registration after which an instance is removed, in ms. */
const removeAfterMs = 60_000;

interface Peer {
  readonly entry: PeerAddress;
  readonly digest?: PeerDigest;
  readonly receivedMs: number;
  readonly registeredMs: number;
}

/** Creates a registry without peers; `instance` is this instance's own name. */
export function createPeerRegistry(
  options: { readonly instance: InstanceName; readonly logEvent?: LogEvent },
): PeerRegistry {
  const log = options.logEvent ?? logEvent;
  const peers = new Map<InstanceName, Peer>();

  function isLive(peer: Peer): boolean {
    return performance.now() - peer.receivedMs < peerTimeoutMs;
  }

  function expirePeers(): void {
    const nowMs = performance.now();
    for (const [name, peer] of peers) {
      if (peer.digest && !isLive(peer)) {
        log(fleetEvents.peerUnresponsive, {
          instance: name,
          silentMs: Math.round(nowMs - peer.receivedMs),
        });
        peers.set(name, { ...peer, digest: undefined });
      }
      if (
        nowMs - Math.max(peer.receivedMs, peer.registeredMs) > removeAfterMs
      ) {
        peers.delete(name);
      }
    }
  }

  function listHeard(): readonly PeerDigest[] {
    expirePeers();
    return [...peers.values()].flatMap(({ digest }) => digest ?? []);
  }

  return {
    register(entry): void {
      if (entry.name === options.instance) return;
      const known = peers.get(entry.name);
      peers.set(entry.name, {
        receivedMs: -Infinity,
        ...known,
        entry,
        registeredMs: performance.now(),
      });
    },
    acceptDigest(digest): boolean {
      if (digest.name === options.instance) return false;
      const known = peers.get(digest.name);
      if (known?.digest && isOlder(digest, known.digest)) return false;
      if (!known?.digest) {
        log(fleetEvents.peerResponsive, {
          instance: digest.name,
          version: digest.version,
          listNext: digest.listNext,
        });
      }
      const nowMs = performance.now();
      peers.set(digest.name, {
        entry: digest,
        digest,
        receivedMs: nowMs,
        registeredMs: known?.registeredMs ?? nowMs,
      });
      return true;
    },
    listRegistered: () => [...peers.values()].map(({ entry }) => entry),
    listLive: listHeard,
    countInstances: () => listHeard().length + 1,
  };
}

function isOlder(digest: PeerDigest, known: PeerDigest): boolean {
  return digest.start === known.start && digest.sequence < known.sequence;
}
