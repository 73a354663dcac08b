/** Connects an entry with the other instances: builds its digests and applies theirs. */
import { randomBytes } from "node:crypto";
import type { PeerDigest } from "@trefoildoor/core";
import { createHandOverServer } from "./accept_hand_over.ts";
import { entryEvents } from "./events.ts";
import { pickActivity } from "./operator_calls.ts";
import { type DigestNews, openPeerLink, type PeerLink } from "./peer_link.ts";
import type { Running } from "./running.ts";

/** Length of the random id that distinguishes runs of this process in digests, in bytes. */
const startIdBytes = 4;

/** Length of the key for calls that peers hand over, in bytes. */
const keyBytes = 12;

/** Opens the link of an entry; rejects if its address cannot be bound. */
export function openLink(running: Running): Promise<PeerLink> {
  const { settings, fleet, links, roles, state, options, shutdown } = running;
  const start = randomBytes(startIdBytes).toString("hex");
  const handOverKey = randomBytes(keyBytes).toString("base64url");
  const handOverServer = createHandOverServer(running, handOverKey);
  state.countTakenOver = handOverServer.countOpen;
  let sequence = 0;
  const buildDigest = (): Omit<PeerDigest, keyof DigestNews> => ({
    start,
    sequence: sequence += 1,
    sentMs: Math.round(performance.now()),
    name: settings.instance,
    address: settings.peers,
    failureDomain: settings.failure_domain,
    version: fleet.getVersion()?.version ?? 0,
    ...fleet.getStoreStatus(),
    loads: fleet.endpointTracker.getReports(),
    reads: fleet.endpointTracker.listPartReports(),
    // What a cut instance believes of endpoints is not true for others.
    down: links.isDoubtful() ? {} : fleet.endpointTracker.listDown(),
    changing: roles.listOrdered(),
    leaving: fleet.endpoints.collectLeaving(),
    takesPlacements: true,
    limits: fleet.limits.collectReports(),
    demand: fleet.shares.collectReports(),
    contacts: links.collectReports(),
    unreached: links.listQuestions(),
    cut: links.isCut() || undefined,
    handOverKey,
    dateMs: running.activity && Date.now(),
    operatorCut: running.operatorCalls?.isCut() || undefined,
    stopping: state.stopping,
  });
  return openPeerLink({
    failureDomain: settings.failure_domain,
    address: settings.peers,
    peers: fleet.peers,
    channels: running.channels,
    buildDigest,
    collectNews: () => ({
      origins: fleet.origins.collectReports(),
      ...(!links.isDoubtful() && {
        crashes: fleet.crashes.collectReports(),
        speeds: fleet.capacities.collectReports(),
        prompts: fleet.capacities.prompts.collectReports(),
      }),
    }),
    findOrigin: fleet.origins.findByKey,
    getState: fleet.getState,
    findActivity: (path) =>
      running.activity &&
      pickActivity(running.activity.recorder.getReport(), path),
    acceptCall: handOverServer.accept,
    onDigest: (digest) => {
      const { peerLink } = state;
      if (!peerLink) return;
      const sentMs = fleet.acceptDigest(digest, peerLink.fetchState);
      if (sentMs === undefined) return;
      fleet.endpoints.applyLeaving(digest.leaving ?? {}, digest.name);
      fleet.shares.applyReports(digest.name, digest.demand);
      if (digest.dateMs !== undefined) {
        running.activity?.time.recordPeer(digest.name, {
          dateMs: digest.dateMs,
          sentMs,
        });
      }
      if (digest.cut) return;
      links.applyReports(digest.contacts ?? {}, sentMs);
      links.answerQuestions(digest.unreached ?? []);
    },
    onPlacements: fleet.backlogs.applyPlacements,
    onFailure: (error) =>
      options.logEvent(entryEvents.linkFailed, { error: String(error) }),
    onTraffic: running.metrics.recordDigestBytes,
    signal: shutdown.signal,
  });
}
