/** What an instance tells its peers and learns from them. */
import {
  type ControlState,
  logEvent,
  parseControlState,
} from "@trefoildoor/core";
import {
  openPeerClient,
  type PeerDigest,
  type PeersParts,
} from "../connection/peers/index.ts";
import { daemonEvents } from "../events.ts";
import type { Instance } from "./instance.ts";
import { createSignatureChecks } from "./streams.ts";

/** Age of the newest knowledge of the log from which peers are asked, in ms. */
const staleControlMs = 2_000;

/** Builds what this instance tells a peer. */
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
    demand: [...instance.demand.listShared()],
    evidence: instance.suspects.getEvidence(),
    leaving: [...instance.members.listLeavingHeard()],
  };
}

/** Takes what a peer tells. */
export function takeDigest(instance: Instance, digest: PeerDigest): void {
  instance.demand.takeHeard(digest.demand);
  instance.suspects.mergeEvidence(digest.evidence);
  for (const endpoint of digest.leaving) {
    instance.members.notePeerWord(endpoint);
  }
}

/** Puts the exchange with all peers together. */
export function createPeersParts(
  instance: Instance,
  options: { readonly isStopping: () => boolean },
): PeersParts {
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
    takeDigest: (digest) => takeDigest(instance, digest),
    // An instance that reads the log itself needs no peer's state.
    needsState: (peer) =>
      peer.controlNext > control.getState().next &&
      control.getAgeMs() > staleControlMs,
    takeState: (state, from) => takeState(instance, state, { from }),
  };
}

/** A peer's state counts only when its bundle is signed. */
function takeState(
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
