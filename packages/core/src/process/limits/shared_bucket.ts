/**
 * One instance's copy of the token bucket that all instances share for a
 * limited endpoint. Its own requests count at once, those of the others as
 * their reports arrive. Requests that are not reported yet are allowed for: a
 * call gets a token with a probability of the tokens left in relation to the
 * calls of other instances that can take one before the reports show it.
 */

/** Rates of another instance at the endpoint, from its reports. */
interface PeerRates {
  readonly start: string;
  demand: number;
  sends: number;
  heardMs: number;
  demandRate: number;
  sendRate: number;
}

/** Counters of one instance since it knows of the limit. */
export interface PeerCounters {
  readonly start: string;
  readonly demand: number;
  readonly sends: number;
}

/** The state of a bucket, for the log. */
export interface BucketState {
  readonly tokens: number;
  /** Requests a second that other instances could send there. */
  readonly otherDemand: number;
  /** Age of the oldest report that counts, in ms. */
  readonly oldestReportMs: number;
}

/** Copy of the bucket of one endpoint. */
export interface SharedBucket {
  readonly setRate: (perSecond: number) => void;
  /** Counts a call of this instance that could be sent there. */
  readonly recordDemand: () => void;
  /** Takes a token for a request of this instance. */
  readonly recordSend: () => void;
  readonly applyCounters: (instance: string, counters: PeerCounters) => void;
  /** Drops the rates of an instance that sends nothing more. */
  readonly removePeer: (instance: string) => void;
  /** Probability with which a call may take a token now, from 0 to 1. */
  readonly getChance: () => number;
  /** Part of the rate that falls to this instance, in requests a second. */
  readonly getOwnRate: () => number;
  /** Time until the next token, in ms; 0 if there is one. */
  readonly getWaitMs: () => number;
  readonly getCounters: () => Pick<PeerCounters, "demand" | "sends">;
  readonly getState: () => BucketState;
}

const msPerSecond = 1_000;
/** Lowest rate, in requests a second: an endpoint that takes none must be asked whether that still holds. */
const minRate = 0.1;
/** Time whose tokens are saved up, in ms, besides `savedPerDelay` times that of the reports. */
const savedMs = 300;
const savedPerDelay = 1.5;
/** Time whose tokens can be owed at most, in ms, so that a lowered limit does not stop all requests for long. */
const maxOwedMs = 4_000;
/** Time constant of the averages of rates, in ms. */
const averageMs = 2_000;
/** The same for the demand of other instances while it falls, as callers may come back together. */
const fallingDemandMs = 30_000;
/** Time without calls after which those of all instances may begin together, in ms. */
const idleMs = 3_000;
/** Multiple of the reports' delay after which the reports show calls that began together. */
const onsetDelays = 1.5;
/** Calls of each other instance that a first call allows for. */
const unseenFirstCalls = 0.25;
/** Silence of an instance after which it is assumed to go on as before, in ms: three heartbeats. */
const silentMs = 3_000;
/** Silence after which it is assumed to have ended, unless most instances are silent, in ms. */
const endedMs = 10_000;
/** Silence after which it no longer counts as an instance, in ms. */
const forgottenMs = 60_000;

/** Creates a bucket with one token. */
export function createSharedBucket(
  perSecond: number,
  options: {
    /** Time until a request of one instance shows in the reports that the others have, in ms. */
    readonly getNewsDelayMs: () => number;
    /** Number of instances, this one included, where some do not report to this one; all report if absent. */
    readonly countInstances?: () => number;
  },
): SharedBucket {
  const peers = new Map<string, PeerRates>();
  /** `onsetMs` and `sinceOnset`: time and number of the calls since this instance last had none for `idleMs`. */
  const own = {
    demand: 0,
    sends: 0,
    demandRate: 0,
    onsetMs: -Infinity,
    sinceOnset: 0,
  };
  let rate = Math.max(perSecond, minRate);
  let tokens = 1;
  let filledMs = performance.now();
  let demandMs = -Infinity;

  /** Requests a second that this instance may count on while others are silent, which may go on sending. */
  function getRefillRate(): number {
    const nowMs = performance.now();
    let silent = 0;
    let silentRate = 0;
    for (const [instance, peer] of peers) {
      const silenceMs = nowMs - peer.heardMs;
      if (silenceMs > forgottenMs) peers.delete(instance);
      else if (silenceMs > silentMs) {
        silent += 1;
        if (silenceMs <= endedMs) silentRate += peer.sendRate;
      }
    }
    const heard = peers.size - silent + 1;
    // Instances that do not report here use up their parts by number.
    const all = Math.max(options.countInstances?.() ?? 0, heard);
    if (all > peers.size + 1) return rate * heard / all;
    // Cut off from most others, this instance keeps to its part.
    if (heard < silent) return rate * heard / (heard + silent);
    return Math.max(rate - silentRate, rate / (heard + silent));
  }

  function addTokens(): void {
    const nowMs = performance.now();
    const addedTokens = (nowMs - filledMs) / msPerSecond * getRefillRate();
    filledMs = nowMs;
    tokens = Math.min(tokens + addedTokens, getMaxTokens());
  }

  function getMaxTokens(): number {
    const forMs = savedMs + savedPerDelay * options.getNewsDelayMs();
    return 1 + rate * forMs / msPerSecond;
  }

  function take(count: number): void {
    if (count === 0) return;
    addTokens();
    const owed = -rate * maxOwedMs / msPerSecond - 1;
    tokens = Math.max(tokens - count, Math.min(owed, tokens));
  }

  function sumDemand(): number {
    let sum = 0;
    for (const { demandRate } of peers.values()) sum += demandRate;
    return sum;
  }

  /** Calls of other instances that may take a token before the reports show it. */
  function estimateUnseen(): number {
    const delayMs = options.getNewsDelayMs();
    const reported = sumDemand() * delayMs / msPerSecond;
    const beginning = performance.now() - own.onsetMs < onsetDelays * delayMs;
    if (!beginning) return reported;
    // The others may have begun at the same time.
    const each = own.sinceOnset - 1 + unseenFirstCalls;
    return Math.max(reported, peers.size * each);
  }

  /** Demand of this instance, which decays while there is none. */
  function getOwnDemandRate(): number {
    const sinceMs = performance.now() - demandMs;
    return own.demandRate * Math.exp(-sinceMs / averageMs);
  }

  return {
    setRate(perSecond): void {
      addTokens();
      rate = Math.max(perSecond, minRate);
      const owed = -rate * maxOwedMs / msPerSecond - 1;
      tokens = Math.min(Math.max(tokens, owed), getMaxTokens());
    },
    recordDemand(): void {
      const nowMs = performance.now();
      own.demandRate = getOwnDemandRate() + msPerSecond / averageMs;
      own.demand += 1;
      if (nowMs - demandMs > idleMs) {
        own.onsetMs = nowMs;
        own.sinceOnset = 0;
      }
      own.sinceOnset += 1;
      demandMs = nowMs;
    },
    recordSend(): void {
      own.sends += 1;
      take(1);
    },
    applyCounters(instance, { start, demand, sends }): void {
      const nowMs = performance.now();
      const known = peers.get(instance);
      const isSame = known?.start === start && known.sends <= sends &&
        known.demand <= demand;
      const sent = isSame ? sends - known.sends : known ? sends : 0;
      const asked = isSame ? demand - known.demand : known ? demand : 0;
      take(sent);
      const tookMs = known ? Math.max(nowMs - known.heardMs, 1) : averageMs;
      const average = (
        former: number,
        count: number,
        fallingMs = averageMs,
      ): number => {
        const current = count * msPerSecond / tookMs;
        const constantMs = current < former ? fallingMs : averageMs;
        return former +
          (current - former) * (1 - Math.exp(-tookMs / constantMs));
      };
      peers.set(instance, {
        start,
        demand,
        sends,
        heardMs: nowMs,
        demandRate: average(known?.demandRate ?? 0, asked, fallingDemandMs),
        sendRate: average(known?.sendRate ?? 0, sent),
      });
    },
    removePeer: (instance) => void peers.delete(instance),
    getChance(): number {
      addTokens();
      if (tokens < 1) return 0;
      return Math.min(tokens / (1 + estimateUnseen()), 1);
    },
    getOwnRate(): number {
      const ownDemand = Math.max(getOwnDemandRate(), minRate);
      return Math.max(rate * ownDemand / (ownDemand + sumDemand()), 1e-3);
    },
    getWaitMs(): number {
      addTokens();
      return Math.max(1 - tokens, 0) / rate * msPerSecond;
    },
    getCounters: () => ({ demand: own.demand, sends: own.sends }),
    getState(): BucketState {
      addTokens();
      const heard = [...peers.values()].map(({ heardMs }) => heardMs);
      const nowMs = performance.now();
      return {
        tokens: Number(tokens.toFixed(2)),
        otherDemand: Number(sumDemand().toFixed(2)),
        oldestReportMs: Math.round(nowMs - Math.min(nowMs, ...heard)),
      };
    },
  };
}
