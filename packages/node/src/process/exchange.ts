/** Exchange of digests and control state between an instance and its peers. */
import {
  type ControlState,
  logEvent,
  parseControlState,
} from "@trefoildoor/core";
import {
  openPeerClient,
  type PeerDigest,
  type PeerExchangeDependencies,
} from "../connection/peers/index.ts";
import { daemonEvents } from "../events.ts";
import type { Instance } from "./instance.ts";
import { createSignatureChecks } from "./streams.ts";

/** Above this age of the control state, in ms, the state of a peer is requested. */
const maxControlAgeMs = 2_000;

/** Builds the digest that this instance sends to its peers. */
export function buildDigest(
  instance: Instance,
  options: { readonly stopping: boolean },
): PeerDigest {
  const state = instance.streams.control.getState();
  return {
    instance: instance.name,
    failureDomain: instance.settings.failure_domain,
    controlNext: state.next,
    version: state.bundle?.signed.bundle.version ?? 0,
    stopping: options.stopping,
    demand: [...instance.demand.listRecentOwnSamples()],
    evidence: instance.suspects.getEvidence(),
    leaving: [...instance.members.listReportedLeaving()],
    promptCrashes: instance.promptCrashes.getEvidence(),
    limits: instance.limits.collectReports(),
  };
}

/** Records the demand, crash evidence and leaving endpoints of a peer's digest. */
export function acceptDigest(instance: Instance, digest: PeerDigest): void {
  instance.demand.acceptPeerSamples(digest.demand);
  instance.suspects.mergeEvidence(digest.evidence);
  if (digest.promptCrashes) {
    instance.promptCrashes.mergeEvidence(digest.promptCrashes);
  }
  instance.limits.applyReports(digest.limits, {
    instance: digest.instance,
    start: digest.instance,
    stopping: digest.stopping,
    delayMs: 0,
  });
  for (const endpoint of digest.leaving) {
    instance.members.recordPeerReport(endpoint);
  }
}

/** Creates what the exchange with all peers works with. */
export function createPeersDependencies(
  instance: Instance,
  options: { readonly isStopping: () => boolean },
): PeerExchangeDependencies {
  const { peers } = instance.settings;
  const { control } = instance.streams;
  return {
    instance: instance.name,
    intervalMs: peers.exchange_interval_ms,
    listPeers: instance.members.listPeers,
    openClient: (address) =>
      openPeerClient(address, {
        settings: peers,
        environment: instance.environment,
      }),
    buildDigest: () =>
      buildDigest(instance, { stopping: options.isStopping() }),
    acceptDigest: (digest) => acceptDigest(instance, digest),
    // An instance that reads the log itself needs no state from a peer.
    needsControlState: (peer) =>
      peer.controlNext > control.getState().next &&
      control.getAgeMs() > maxControlAgeMs,
    acceptControlState: (state, from) =>
      acceptPeerState(instance, state, { from }),
  };
}

/** Accepts a peer's state only if the signature of its bundle is valid. */
function acceptPeerState(
  instance: Instance,
  state: ControlState,
  { from }: { readonly from: string },
): void {
  const checks = createSignatureChecks(instance.settings.signing_keys);
  const checked = parseControlState(state, checks);
  if (checked && instance.streams.control.offerState(checked)) {
    logEvent(daemonEvents.peerState, { peer: from });
  }
}
