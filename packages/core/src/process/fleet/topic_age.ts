/** How old the known state of a followed topic is, and whether its store is out of reach. */
import {
  getInstantAgeMs,
  type Instant,
  noInstant,
  pickLater,
} from "../../shared/index.ts";

/** Age of the state that one instance knows. */
export interface TopicAge {
  /** Starts the time since recovery if the store was unreachable; to be called before fresh data is applied. */
  readonly recordRecovery: () => void;
  /** Records a read of this instance whose content is as of an instant. */
  readonly recordRead: (asOf: Instant) => void;
  /** Records that a peer has read the known state at an instant. */
  readonly recordPeerRead: (asOf: Instant) => void;
  readonly recordFailure: () => void;
  /** Records that the store came back from an older copy, as after an outage. */
  readonly markRestored: () => void;
  /** Time since the last successful read of anyone, in ms. */
  readonly getAgeMs: () => number;
  /** Time since the last successful read of this instance, in ms. */
  readonly getReadAgeMs: () => number;
  /** Time since fresh data arrived again after an outage, in ms; 0 during an outage, Infinity if there was none. */
  readonly getSinceRecoveryMs: () => number;
  /** Resolves once the state is at most `maxAgeMs` old, or `until` has settled. */
  readonly waitForFresh: (
    maxAgeMs: number,
    until: Promise<unknown>,
  ) => Promise<void>;
}

/**
 * Age of the known state above which a failed read shows an outage, in ms:
 * longer than the delay of a late read, shorter than the time in which entries
 * lapse.
 */
const outageAfterMs = 1_500;

/** Creates the age of a state that was never read. */
export function createTopicAge(): TopicAge {
  let read = noInstant;
  let peerRead = noInstant;
  let failedMs = -Infinity;
  let recoveredMs = -Infinity;
  const listeners = new Set<() => void>();

  function getAgeMs(): number {
    return getInstantAgeMs(pickLater(read, peerRead));
  }

  /** Whether the store counts as unreachable: data that is merely late, while no own read has failed since, does not show an outage. */
  function isAway(): boolean {
    const ageMs = getAgeMs();
    return ageMs > outageAfterMs && ageMs < Infinity &&
      failedMs > pickLater(read, peerRead).monotonicMs;
  }

  function recordRecovery(): void {
    if (isAway()) recoveredMs = performance.now();
  }

  function notify(): void {
    for (const listener of listeners) listener();
  }

  return {
    recordRecovery,
    recordRead(asOf): void {
      read = pickLater(read, asOf);
      notify();
    },
    recordPeerRead(asOf): void {
      if (asOf.monotonicMs <= peerRead.monotonicMs) return;
      if (getInstantAgeMs(asOf) <= outageAfterMs) recordRecovery();
      peerRead = asOf;
      notify();
    },
    recordFailure(): void {
      failedMs = performance.now();
    },
    markRestored(): void {
      recoveredMs = performance.now();
    },
    getAgeMs,
    getReadAgeMs: () => getInstantAgeMs(read),
    getSinceRecoveryMs: () => isAway() ? 0 : performance.now() - recoveredMs,
    async waitForFresh(maxAgeMs, until): Promise<void> {
      await new Promise<void>((resolve) => {
        const end = (): void => {
          listeners.delete(check);
          resolve();
        };
        const check = (): void => {
          if (getAgeMs() <= maxAgeMs) end();
        };
        listeners.add(check);
        check();
        until.then(end, end);
      });
    },
  };
}
