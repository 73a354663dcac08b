/** Connects an entry with the other instances: builds its digests and applies theirs. */
import { randomBytes } from "node:crypto";
import type { PeerDigest } from "@trefoildoor/core";
import { entryEvents } from "./events.ts";
import { openPeerLink, type PeerLink } from "./peer_link.ts";
import type { Running } from "./running.ts";

/** Length of the random id that distinguishes runs of this process in digests, in bytes. */
const startIdBytes = 4;

/** Opens the link of an entry; rejects if its address cannot be bound. */
export function openLink(running: Running): Promise<PeerLink> {
  const { settings, fleet, roles, state, options, shutdown } = running;
  const start = randomBytes(startIdBytes).toString("hex");
  let sequence = 0;
  const buildDigest = (): PeerDigest => ({
    start,
    sequence: sequence += 1,
    sentMs: Math.round(performance.now()),
    name: settings.instance,
    address: settings.peers,
    failureDomain: settings.failure_domain,
    version: fleet.getVersion()?.version ?? 0,
    ...fleet.getListStatus(),
    loads: fleet.endpointTracker.getReports(),
    reads: fleet.endpointTracker.listPartReports(),
    down: fleet.endpointTracker.listDown(),
    changing: roles.listOrdered(),
    limits: fleet.limits.collectReports(),
    contacts: running.links.collectReports(),
    cut: running.links.isCut() || undefined,
    stopping: state.stopping,
  });
  return openPeerLink({
    failureDomain: settings.failure_domain,
    address: settings.peers,
    peers: fleet.peers,
    channels: running.channels,
    buildDigest,
    collectCrashes: fleet.crashes.collectReports,
    collectOrigins: fleet.origins.collectReports,
    findOrigin: fleet.origins.findByKey,
    getState: fleet.getState,
    onDigest: (digest) => {
      const { peerLink } = state;
      if (!peerLink) return;
      const delayMs = fleet.acceptDigest(digest, peerLink.fetchState);
      if (delayMs === undefined || digest.cut) return;
      running.links.applyReports(digest.contacts ?? {}, delayMs);
    },
    onFailure: (error) =>
      options.logEvent(entryEvents.linkFailed, { error: String(error) }),
    onTraffic: running.metrics.recordDigestBytes,
    signal: shutdown.signal,
  });
}
