/** Records the transit delays of digests, and whose digests are late. */
import {
  createDigestDelays,
  type DigestDelay,
  fleetEvents,
  type Instant,
  type LogEvent,
  type PeerDigest,
} from "@trefoildoor/core";

/** Transit delay of digests above which their sender counts as delayed, in ms: far above the round trips and batch delays. */
const lateDigestMs = 1_000;

/** Creates a function that measures the transit delay of a digest that arrived at an instant, returns it, and logs when its sender becomes late or punctual. */
export function createDelayRecorder(options: {
  /** Called with each delay, in ms. */
  readonly onDigestDelay: (delayMs: number) => void;
  readonly logEvent: LogEvent;
}): (digest: PeerDigest, received: Instant) => DigestDelay {
  const digestDelays = createDigestDelays();
  const delayedPeers = new Set<string>();
  return function recordDelay(digest, received): DigestDelay {
    const delay = digestDelays.measure(digest, received.monotonicMs);
    options.onDigestDelay(delay.ms);
    const late = delay.ms > lateDigestMs;
    if (late === delayedPeers.has(digest.name)) return delay;
    if (late) delayedPeers.add(digest.name);
    else delayedPeers.delete(digest.name);
    const event = late ? fleetEvents.peerDelayed : fleetEvents.peerPunctual;
    options.logEvent(event, {
      instance: digest.name,
      delayMs: Math.round(delay.ms),
    });
    return delay;
  };
}
