/** The other instances as this one hears them. */
import { type LogEvent, logEvent } from "../../shared/index.ts";
import type { FailureDomain, InstanceName } from "../../types/index.ts";
import type { DownNotes, ReadReports } from "./endpoint_board.ts";
import { fleetEvents } from "./events.ts";
import type { ChangingEngine } from "./keep_roles.ts";
import type { LoadReports } from "./peer_reports.ts";

/** An instance as it registers in the store. */
export interface PeerAddress {
  readonly name: InstanceName;
  /** IP number and port at which instances tell each other their state. */
  readonly address: string;
  readonly failureDomain: FailureDomain;
}

/** What an instance tells the others, often. */
export interface PeerDigest extends PeerAddress {
  /** Version of the routing configuration in force; 0 before the first. */
  readonly version: number;
  /** Differs after each start of the instance. */
  readonly start: string;
  /** Count of digests since the start; one that arrives late is dropped by it. */
  readonly sequence: number;
  /** Offset up to which the list of endpoints was read. */
  readonly listNext: number;
  /** Offset up to which it has to be read to hold its last change. */
  readonly listChanged: number;
  /** Age of the list when the digest was sent, in ms. */
  readonly listAgeMs: number;
  /** Whether the instance reads the store for its failure domain. */
  readonly readsStore: boolean;
  readonly loads: LoadReports;
  readonly reads: ReadReports;
  readonly down: DownNotes;
  readonly changing: readonly ChangingEngine[];
  /** Whether the instance is stopping. */
  readonly stopping: boolean;
}

/** Registered and heard instances. */
export interface PeerBook {
  readonly register: (entry: PeerAddress) => void;
  /** Takes a digest that arrived; tells whether it is the sender's newest. */
  readonly takeDigest: (digest: PeerDigest) => boolean;
  /** All that are registered, this one left out. */
  readonly listRegistered: () => readonly PeerAddress[];
  /** Newest digests of instances that are heard now. */
  readonly listHeard: () => readonly PeerDigest[];
  /** Live instances, this one included. */
  readonly countInstances: () => number;
}

/** Silence after which an instance counts as gone, in ms: three of its heartbeats. */
const silenceMs = 3_000;
/** Silence after which a registered instance is forgotten, in ms. */
const forgetMs = 60_000;

interface Peer {
  readonly entry: PeerAddress;
  readonly digest?: PeerDigest;
  readonly heardMs: number;
  readonly registeredMs: number;
}

/** Creates an empty book. */
export function createPeerBook(
  options: { readonly instance: InstanceName; readonly logEvent?: LogEvent },
): PeerBook {
  const log = options.logEvent ?? logEvent;
  const peers = new Map<InstanceName, Peer>();

  function isHeard(peer: Peer): boolean {
    return performance.now() - peer.heardMs < silenceMs;
  }

  function removeSilent(): void {
    const nowMs = performance.now();
    for (const [name, peer] of peers) {
      if (peer.digest && !isHeard(peer)) {
        log(fleetEvents.peerSilent, {
          instance: name,
          silentMs: Math.round(nowMs - peer.heardMs),
        });
        peers.set(name, { ...peer, digest: undefined });
      }
      if (nowMs - Math.max(peer.heardMs, peer.registeredMs) > forgetMs) {
        peers.delete(name);
      }
    }
  }

  function listHeard(): readonly PeerDigest[] {
    removeSilent();
    return [...peers.values()].flatMap(({ digest }) => digest ?? []);
  }

  return {
    register(entry): void {
      if (entry.name === options.instance) return;
      const known = peers.get(entry.name);
      peers.set(entry.name, {
        heardMs: -Infinity,
        ...known,
        entry,
        registeredMs: performance.now(),
      });
    },
    takeDigest(digest): boolean {
      if (digest.name === options.instance) return false;
      const known = peers.get(digest.name);
      if (known?.digest && isOlder(digest, known.digest)) return false;
      if (!known?.digest) {
        log(fleetEvents.peerSeen, {
          instance: digest.name,
          version: digest.version,
          listNext: digest.listNext,
        });
      }
      const nowMs = performance.now();
      peers.set(digest.name, {
        entry: digest,
        digest,
        heardMs: nowMs,
        registeredMs: known?.registeredMs ?? nowMs,
      });
      return true;
    },
    listRegistered: () => [...peers.values()].map(({ entry }) => entry),
    listHeard,
    countInstances: () => listHeard().length + 1,
  };
}

function isOlder(digest: PeerDigest, known: PeerDigest): boolean {
  return digest.start === known.start && digest.sequence < known.sequence;
}
