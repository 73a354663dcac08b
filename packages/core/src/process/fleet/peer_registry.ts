/** Tracks the other instances: their registrations in the store and the digests that they send. */
import {
  type LogEvent,
  logEvent,
  type RunningClock,
} from "../../shared/index.ts";
import type { FailureDomain, InstanceName } from "../../types/index.ts";
import type { PromptReports, SpeedReports } from "../capacities/index.ts";
import type { CrashReports } from "../crashes/index.ts";
import type { ContactReports } from "../links/index.ts";
import type { LimitReports } from "../limits/index.ts";
import type { DemandReports } from "../shares/index.ts";
import type { OriginReports } from "../streams/index.ts";
import type { DownEndpoints, PartReports } from "./endpoint_tracker.ts";
import { fleetEvents } from "./events.ts";
import type { ChangingEngine } from "./keep_roles.ts";
import type { LeaveReports } from "./leave_notices.ts";
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
  /** Time since that was known to be the newest version, in ms; absent in digests of former versions. */
  readonly versionAgeMs?: number;
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
  /** Endpoints that told the instance that they leave, while the store does not say so; absent if there are none. */
  readonly leaving?: LeaveReports;
  /** News of crashes under calls; absent if there are none. */
  readonly crashes?: CrashReports;
  /** Limits of endpoints and the instance's own requests there; absent if there are none. */
  readonly limits?: LimitReports;
  /** Work that workspaces ask the instance for; absent while all calls find room. */
  readonly demand?: DemandReports;
  /** How long work takes at endpoints in relation to others, for those whose figure changed; absent if there are none. */
  readonly speeds?: SpeedReports;
  /** Times in which engines computed prompts since the last digest; absent if there are none. */
  readonly prompts?: PromptReports;
  /** Whether the instance takes messages about prompts that others place; absent in digests of former versions. */
  readonly takesPlacements?: boolean;
  /** Streams that the instance has begun while several software versions serve; absent if there are none. */
  readonly origins?: OriginReports;
  /** Endpoints that answered the instance lately, by address; absent in digests of former versions. */
  readonly contacts?: ContactReports;
  /** Addresses of endpoints that the instance cannot connect to; peers try them. Absent if there are none. */
  readonly unreached?: readonly string[];
  /** Key that a call handed over to the instance must bear; absent if it takes none. */
  readonly handOverKey?: string;
  /** Whether the instance is cut off from the endpoints; absent if it is not. */
  readonly cut?: boolean;
  /** The sender's date when it was sent, in ms since the start of 1970; absent where nothing is counted by time of day. */
  readonly dateMs?: number;
  /** Whether the instance cannot reach the operator; absent if it can, or does not know. */
  readonly operatorCut?: boolean;
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
  /** Newest digests of the instances that are live, in the order of their arrival. */
  readonly listLive: () => readonly PeerDigest[];
  /** Number of live instances, including this one. */
  readonly countInstances: () => number;
}

/** Time without a digest after which an instance no longer counts as live, in ms: three of its heartbeats. */
const peerTimeoutMs = 3_000;
/** Time without a digest or registration after which an instance is removed, in ms. */
const removeAfterMs = 60_000;
/** Pause between two checks for instances to remove, in ms. */
const removalIntervalMs = 1_000;

interface Peer {
  readonly entry: PeerAddress;
  readonly receivedMs: number;
  readonly registeredMs: number;
}

interface HeardDigest {
  readonly digest: PeerDigest;
  readonly receivedMs: number;
}

/** Name of the instance and its dependencies. */
export interface PeerRegistryOptions {
  /** This instance's own name. */
  readonly instance: InstanceName;
  /** Clock of the time in which this instance could receive digests; the monotonic clock by default. */
  readonly clock?: RunningClock;
  readonly logEvent?: LogEvent;
}

/** Creates a registry without peers. */
export function createPeerRegistry(options: PeerRegistryOptions): PeerRegistry {
  const log = options.logEvent ?? logEvent;
  const getNowMs = options.clock?.getMs ?? (() => performance.now());
  const peers = new Map<InstanceName, Peer>();
  /** Newest digests of the live instances in the order of their arrival, so that only the oldest can have expired. */
  const heard = new Map<InstanceName, HeardDigest>();
  /** Undefined after a change of the registered instances. */
  let registered: readonly PeerAddress[] | undefined;
  let nextRemovalMs = -Infinity;

  function expirePeers(): void {
    const nowMs = getNowMs();
    for (const [name, { receivedMs }] of heard) {
      if (nowMs - receivedMs < peerTimeoutMs) break;
      heard.delete(name);
      log(fleetEvents.peerUnresponsive, {
        instance: name,
        silentMs: Math.round(nowMs - receivedMs),
      });
    }
    if (nowMs < nextRemovalMs) return;
    nextRemovalMs = nowMs + removalIntervalMs;
    for (const [name, { receivedMs, registeredMs }] of peers) {
      if (nowMs - Math.max(receivedMs, registeredMs) <= removeAfterMs) continue;
      peers.delete(name);
      registered = undefined;
    }
  }

  function setPeer(peer: Peer): void {
    const known = peers.get(peer.entry.name)?.entry;
    const isSame = known?.address === peer.entry.address &&
      known.failureDomain === peer.entry.failureDomain;
    peers.set(peer.entry.name, isSame ? { ...peer, entry: known } : peer);
    if (!isSame) registered = undefined;
  }

  return {
    register(entry): void {
      if (entry.name === options.instance) return;
      setPeer({
        entry,
        receivedMs: peers.get(entry.name)?.receivedMs ?? -Infinity,
        registeredMs: getNowMs(),
      });
    },
    acceptDigest(digest): boolean {
      const { name, address, failureDomain } = digest;
      if (name === options.instance) return false;
      const known = heard.get(name)?.digest;
      if (known && isOlder(digest, known)) return false;
      if (!known) {
        log(fleetEvents.peerResponsive, {
          instance: name,
          version: digest.version,
          listNext: digest.listNext,
        });
      }
      const receivedMs = getNowMs();
      heard.delete(name);
      heard.set(name, { digest, receivedMs });
      setPeer({
        entry: { name, address, failureDomain },
        receivedMs,
        registeredMs: peers.get(name)?.registeredMs ?? receivedMs,
      });
      return true;
    },
    listRegistered(): readonly PeerAddress[] {
      registered ??= [...peers.values()].map(({ entry }) => entry);
      return registered;
    },
    listLive(): readonly PeerDigest[] {
      expirePeers();
      return [...heard.values()].map(({ digest }) => digest);
    },
    countInstances(): number {
      expirePeers();
      return heard.size + 1;
    },
  };
}

function isOlder(digest: PeerDigest, known: PeerDigest): boolean {
  return digest.start === known.start && digest.sequence < known.sequence;
}
