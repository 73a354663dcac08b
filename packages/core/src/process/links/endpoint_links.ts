/**
 * Tells whether this instance is cut off from the endpoints while its peers are
 * not. New connections to several endpoints fail, none succeeds, and peers
 * report answers of the same endpoints since, for which they try to connect to
 * them if asked. A single silent endpoint, a service that is down for all and a
 * frozen instance do not look like that.
 */
import {
  type LogEvent,
  logEvent,
  type RunningClock,
  waitFor,
} from "../../shared/index.ts";
import { type ContactReports, createContacts } from "./contacts.ts";
import { linkEvents } from "./events.ts";

/** Links between one instance and the endpoints. */
export interface EndpointLinks {
  /** Records bytes of an answer, on a connection opened at `connectedMs` of `performance.now()`. Addresses that are no endpoint's are ignored, here and below. */
  readonly recordContact: (address: string, connectedMs: number) => void;
  /** Records that a connection was opened. */
  readonly recordConnected: (address: string) => void;
  /** Records that a request was sent. */
  readonly recordSent: (address: string) => void;
  /** Records that a connection could not be opened or broke. */
  readonly recordFailure: (address: string) => void;
  /** Whether the endpoints are out of reach for this instance only. */
  readonly isCut: () => boolean;
  /** Whether that may be so, so that what the instance believes of endpoints is not to be passed on. */
  readonly isDoubtful: () => boolean;
  /** Resolves to whether a refused connection shows that the endpoint has ended; false if a peer is answered since on an older connection, or if the instance is cut off. */
  readonly confirmEnd: (address: string) => Promise<boolean>;
  /** Contacts of this instance, for its digest. */
  readonly collectReports: () => ContactReports;
  /** Applies the contacts of a peer's digest, which was sent at `sentMs` of `performance.now()`. */
  readonly applyReports: (reports: ContactReports, sentMs: number) => void;
  /** Endpoints that peers are asked to connect to, for the digest; undefined if there are none. */
  readonly listQuestions: () => readonly string[] | undefined;
  /** Connects to endpoints that a peer cannot reach; in large fleets only some of the peers do. */
  readonly answerQuestions: (addresses: readonly string[]) => void;
}

/** Dependencies of the links. */
export interface EndpointLinksOptions {
  /** Addresses of the endpoints that take work. */
  readonly listAddresses: () => readonly string[];
  /** Tries to connect; false if that fails or takes longer than `timeoutMs`. */
  readonly probe: (address: string, timeoutMs: number) => Promise<boolean>;
  /** Called when the instance is cut off, and when it no longer is. */
  readonly onChange?: (cut: boolean) => void;
  /** Called when there is something to ask peers, or to answer them. */
  readonly onNews?: () => void;
  /** Number of peers that may answer questions; 1 by default. */
  readonly countPeers?: () => number;
  /** Clock of the time in which this instance could receive contacts; the monotonic clock by default. */
  readonly clock?: RunningClock;
  readonly random?: () => number;
  readonly logEvent?: LogEvent;
  readonly signal: AbortSignal;
}

const checkIntervalMs = 100;
const confirmIntervalMs = 50;
/** Time within which busy peers report an answer of an endpoint, in ms. */
const confirmMs = 500;
/** Time without any answer after a request was sent, after which links are probed, in ms. */
const silenceMs = 600;
/** The same without requests, in ms. */
const idleMs = 1_500;
/** Timeout of a probe, in ms; round trips are below 20 ms. */
const probeTimeoutMs = 300;
/** Probes of a round, if those of the last one failed; otherwise there is one. */
const probesPerRound = 3;
/** Time for which an opened connection shows that links are there, in ms; failures in it need no probes. */
const connectedMs = 1_000;
/** Pause between two rounds of probes of a cut instance, in ms. */
const cutIntervalMs = 500;
/** Endpoints that peers are asked for at a time. */
const maxQuestions = 8;
/** Peers that answer a question, on average. */
const answersPerQuestion = 4;
/** Pause between two answers of an instance about the same endpoint, in ms. */
const answerIntervalMs = 500;
/** Endpoints out of reach that peers reach, for a cut. */
const minRefuted = 2;
/** Time after which failures are the endpoints' if no peer reports an answer of them, in ms: more than a heartbeat of instances. */
const maxDoubtMs = 1_500;
/** Lateness of a check above which the process did not run, in ms; what it did not hear then tells nothing. */
const frozenMs = 300;

/** Starts to watch the links until the signal aborts. */
export function watchEndpointLinks(
  options: EndpointLinksOptions,
): EndpointLinks {
  const { listAddresses, probe, random = Math.random, signal } = options;
  const log = options.logEvent ?? logEvent;
  const getRunningMs = options.clock?.getMs ?? (() => performance.now());
  const own = createContacts();
  const peers = createContacts();
  /** When the oldest request without an answer of any endpoint after it was sent. */
  let unansweredMs = Infinity;
  let failed = false;
  /** When a connection was last opened, by a call or a probe. */
  let openedMs = -Infinity;
  /** Addresses of the endpoints, as of the last check. */
  let known: ReadonlySet<string> = new Set();
  let cutMs: number | undefined;
  /** Endpoints that could not be connected to, with the start of the first failed probe, since a connection succeeded. */
  const unreached = new Map<string, number>();
  /** When questions about endpoints were last answered, or left to other peers. */
  const answered = new Map<string, number>();
  let startedMs = performance.now();

  function recordContact(address: string, connectedMs: number): void {
    if (!known.has(address)) return;
    own.record(address, { atMs: performance.now(), connectedMs });
    unansweredMs = Infinity;
  }

  function recordConnected(address: string): void {
    if (!known.has(address)) return;
    openedMs = performance.now();
    recordContact(address, openedMs);
  }

  /** Addresses to probe: those that peers reached last, and another one at random, rather one that was not out of reach. */
  function chooseAddresses(): readonly string[] {
    const ordered = listAddresses()
      .map((address) => ({
        address,
        rank: peers.getMs(address) + random(),
        draw: random(),
      }))
      .toSorted((left, right) =>
        right.rank === left.rank
          ? right.draw - left.draw
          : right.rank - left.rank
      );
    if (unreached.size === 0) return ordered.slice(0, 1).map(getAddress);
    const first = ordered.slice(0, probesPerRound - 1);
    const others = ordered.slice(probesPerRound - 1)
      .toSorted((left, right) => right.draw - left.draw);
    const isUntried = ({ address }: { readonly address: string }): boolean =>
      !unreached.has(address);
    const other = others.find(isUntried) ?? others[0];
    return [...first, ...(other ? [other] : [])].map(getAddress);
  }

  async function runProbes(): Promise<void> {
    const roundMs = performance.now();
    const { size } = unreached;
    const reached = await Promise.all(
      chooseAddresses().map(async (address) => {
        const success = await probe(address, probeTimeoutMs);
        if (success) recordConnected(address);
        else if (!unreached.has(address)) unreached.set(address, roundMs);
        return success;
      }),
    );
    if (signal.aborted) return;
    if (!reached.includes(true)) {
      if (unreached.size > size) options.onNews?.();
      return;
    }
    unreached.clear();
    failed = false;
    setCut(false);
  }

  /** Connects to an endpoint for a peer, and reports it if that succeeds. */
  async function answerQuestion(address: string): Promise<void> {
    const nowMs = performance.now();
    const lastMs = answered.get(address) ?? -Infinity;
    if (!known.has(address) || nowMs - lastMs < answerIntervalMs) return;
    answered.set(address, nowMs);
    // A new connection would replace an answer, which shows more.
    if (nowMs - own.getMs(address) < answerIntervalMs) {
      return options.onNews?.();
    }
    const peerCount = options.countPeers?.() ?? 1;
    if (random() * peerCount >= answersPerQuestion) return;
    const success = await probe(address, probeTimeoutMs);
    if (!success || signal.aborted) return;
    recordConnected(address);
    options.onNews?.();
  }

  function listRefuted(): readonly string[] {
    return [...unreached].flatMap(([address, sinceMs]) =>
      peers.getMs(address) > sinceMs ? [address] : []
    );
  }

  function setCut(cut: boolean): void {
    if (cut === (cutMs !== undefined)) return;
    const nowMs = performance.now();
    log(cut ? linkEvents.cut : linkEvents.restored, {
      unreached: [...unreached.keys()].join(" "),
      reachedByPeers: listRefuted().join(" "),
      peerContactAgeMs: getAgeMs(peers.getNewestMs(), nowMs),
      contactAgeMs: getAgeMs(own.getNewestMs(), nowMs),
      cutForMs: cutMs === undefined ? undefined : Math.round(nowMs - cutMs),
    });
    cutMs = cut ? nowMs : undefined;
    options.onChange?.(cut);
  }

  function needsProbes(nowMs: number): boolean {
    if (unreached.size > 0 || cutMs !== undefined) return true;
    if (failed && nowMs - openedMs > connectedMs) return true;
    if (nowMs - unansweredMs > silenceMs) return true;
    const quietMs = Math.max(own.getNewestMs(), startedMs);
    return nowMs - quietMs > idleMs && peers.getNewestMs() > quietMs;
  }

  async function check(): Promise<void> {
    if (known.size === 0) return;
    if (!needsProbes(performance.now())) {
      failed = false;
      return;
    }
    const doubted = unreached.size > 0;
    await runProbes();
    failed = false;
    if (unreached.size > 0 && !doubted) {
      log(linkEvents.doubted, {
        unreached: [...unreached.keys()].join(" "),
        contactAgeMs: getAgeMs(own.getNewestMs(), performance.now()),
      });
    }
    const needed = Math.min(minRefuted, known.size);
    if (unreached.size > 0 && listRefuted().length >= needed) setCut(true);
  }

  async function run(): Promise<void> {
    while (!signal.aborted) {
      const pauseMs = cutMs === undefined ? checkIntervalMs : cutIntervalMs;
      const beforeMs = performance.now();
      await waitFor(pauseMs, signal);
      if (signal.aborted) return;
      known = new Set(listAddresses());
      for (const address of answered.keys()) {
        if (!known.has(address)) answered.delete(address);
      }
      if (performance.now() - beforeMs - pauseMs > frozenMs) {
        unansweredMs = Infinity;
        unreached.clear();
        startedMs = performance.now();
        continue;
      }
      await check();
    }
  }

  function isDoubtful(): boolean {
    return cutMs !== undefined || failed || unreached.size > 0;
  }

  void run();
  return {
    recordContact,
    recordConnected,
    recordSent(address): void {
      if (!known.has(address)) return;
      unansweredMs = Math.min(unansweredMs, performance.now());
    },
    recordFailure(address): void {
      if (known.has(address)) failed = true;
    },
    isCut: () => cutMs !== undefined,
    isDoubtful,
    async confirmEnd(address): Promise<boolean> {
      const sinceMs = performance.now();
      const waitStartMs = getRunningMs();
      while (!signal.aborted) {
        if (cutMs !== undefined || peers.isAlive(address, sinceMs)) {
          return false;
        }
        const waitedMs = getRunningMs() - waitStartMs;
        if (waitedMs >= (isDoubtful() ? maxDoubtMs : confirmMs)) return true;
        await waitFor(confirmIntervalMs, signal);
      }
      return false;
    },
    collectReports: own.collectReports,
    applyReports(reports, sentMs): void {
      for (const [address, contact] of Object.entries(reports)) {
        const [ageMs, connectionAgeMs] = contact;
        peers.record(address, {
          atMs: sentMs - ageMs,
          connectedMs: sentMs - connectionAgeMs,
        });
      }
    },
    listQuestions: () =>
      cutMs === undefined && unreached.size > 0
        ? [...unreached.keys()].filter((address) => known.has(address))
          .slice(-maxQuestions)
        : undefined,
    answerQuestions(addresses): void {
      // An instance that reaches no endpoint itself has nothing to tell.
      if (cutMs !== undefined || unreached.size > 0) return;
      for (const address of addresses.slice(0, maxQuestions)) {
        void answerQuestion(address);
      }
    },
  };
}

function getAddress({ address }: { readonly address: string }): string {
  return address;
}

function getAgeMs(atMs: number, nowMs: number): number | undefined {
  return Number.isFinite(atMs) ? Math.round(nowMs - atMs) : undefined;
}
