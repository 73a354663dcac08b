/**
 * Hands calls of an instance that is cut off from the endpoints to a peer, which
 * answers them as its own. A call goes to a second peer only if the first one
 * certainly did not take it.
 */
import { randomBytes } from "node:crypto";
import {
  answerEnd,
  buildEndpointFailed,
  buildStopping,
  buildTimedOut,
  type CallerAnswer,
  dropAnswer,
  Effect,
  type ForwardCall,
  type ForwardEnd,
  type ForwardRoute,
  type HeldBytes,
  isPromise,
  linkEvents,
  Outcome,
  type PeerDigest,
  readAnswer,
  RemoteError,
} from "@trefoildoor/core";
import type { ChannelAnswer } from "./channels.ts";
import type { CallerRequest } from "./front_server.ts";
import {
  decodeLeaving,
  findHeader,
  LinkHeader,
  pickPassedHeaders,
} from "./hand_over_wire.ts";
import type { Running } from "./running.ts";

/** Hands calls over to peers. */
export interface HandOver {
  /** Answers the caller with a peer's answer; undefined if no peer took the call, so that it has not run. */
  readonly run: (handed: HandedCall) => Promise<ForwardEnd | undefined>;
}

/** A call of a caller, its route and the way to answer it. */
export interface HandedCall {
  readonly request: CallerRequest;
  readonly call: ForwardCall;
  readonly route: ForwardRoute;
  readonly answer: CallerAnswer;
}

/** The peer of one try, and the end of the call's time. */
interface Target {
  readonly peer: PeerDigest;
  readonly signal: AbortSignal;
}

const maxPeers = 2;
/** Length of the random text of a try, in bytes. */
const tryBytes = 8;
/** Share of the live peers, those heard longest ago, that get no calls. */
const unheardShare = 0.3;
/** Time that the answer of a peer may come later than the call's deadline, in ms: the peer keeps to the deadline itself. */
const answerMarginMs = 50;
const firstServerError = 500;
const unavailable = 503;
/** Answers with at most this length are read whole, so that one that breaks off is not passed on, in bytes. */
const maxHeldBytes = 1_048_576;

/** Creates the hand-over of an entry. */
export function createHandOver(
  running: Pick<
    Running,
    "settings" | "fleet" | "channels" | "options" | "dependencies"
  >,
): HandOver {
  const { settings, fleet, channels, options, dependencies } = running;
  const { stopBound } = dependencies;

  function buildEnded(options: { readonly runs: number }): ForwardEnd {
    return stopBound.getLeftMs() > 0
      ? buildTimedOut(options)
      : buildStopping(options);
  }

  /** Calls that each peer is running for this instance. */
  const open = new Map<string, number>();

  /** Of two eligible peers at random the one with fewer calls from here; those heard last come into question, as others may be frozen. */
  function choosePeer(tried: ReadonlySet<string>): PeerDigest | undefined {
    const version = fleet.getVersion()?.version ?? 0;
    const live = fleet.peers.listLive().filter((peer) =>
      !peer.stopping && !peer.cut && peer.handOverKey !== undefined &&
      peer.version >= version && !tried.has(peer.name)
    );
    const eligible = live.slice(Math.floor(live.length * unheardShare));
    const drawn = Array.from(
      { length: 2 },
      () => eligible[Math.floor(Math.random() * eligible.length)],
    );
    return drawn.toSorted((left, right) =>
      countOpen(left) - countOpen(right)
    )[0];
  }

  function countOpen(peer: PeerDigest | undefined): number {
    return open.get(peer?.name ?? "") ?? 0;
  }

  function addOpen({ name }: PeerDigest, change: number): void {
    const count = (open.get(name) ?? 0) + change;
    if (count > 0) open.set(name, count);
    else open.delete(name);
  }

  async function send(
    { request, call }: HandedCall,
    { peer, signal }: Target,
  ): Promise<ChannelAnswer | undefined> {
    const getAgeMs = (): number =>
      Math.round(Math.max(performance.now() - call.receivedMs, 0));
    options.logEvent(linkEvents.handedOver, {
      call: call.id,
      instance: peer.name,
      ageMs: getAgeMs(),
      peerVersion: peer.version,
    });
    const tryId = randomBytes(tryBytes).toString("hex");
    const answer = await channels.exchange(peer.address, {
      method: request.method,
      path: request.target,
      buildHeaders: () => [
        ...pickPassedHeaders(request.headers),
        LinkHeader.Key,
        peer.handOverKey ?? "",
        LinkHeader.From,
        settings.instance,
        LinkHeader.AgeMs,
        String(getAgeMs()),
        LinkHeader.Try,
        tryId,
      ],
      body: request.body,
      signal,
    });
    const refused = findHeader(answer.headers, LinkHeader.Refused);
    const isOwn = findHeader(answer.headers, LinkHeader.Try) === tryId;
    if (!isOwn && (refused !== undefined || isPromise(answer.status))) {
      await answer.body[Symbol.asyncIterator]().return?.();
      throw new Error("refusal was not given by the peer to this call");
    }
    if (isOwn) {
      fleet.endpoints.applyLeaving(decodeLeaving(answer.headers), peer.name);
    }
    if (refused === undefined) return answer;
    await dropAnswer(answer);
    logFailure(peer, { call, sent: false, error: refused });
    return undefined;
  }

  function logFailure(
    peer: PeerDigest,
    failure: {
      readonly call: ForwardCall;
      readonly sent: boolean;
      readonly error: unknown;
    },
  ): void {
    options.logEvent(linkEvents.handOverFailed, {
      call: failure.call.id,
      instance: peer.name,
      sent: failure.sent,
      error: String(failure.error),
    });
  }

  /** Undefined if the peer certainly did not take the call. */
  async function runAt(
    handed: HandedCall,
    target: Target,
  ): Promise<ForwardEnd | undefined> {
    const { peer, signal } = target;
    const { call, answer } = handed;
    addOpen(peer, 1);
    try {
      const received = await send(handed, target);
      const { held } = dependencies;
      return received && await passAnswer(received, { ...handed, held });
    } catch (error) {
      const unsent = error instanceof RemoteError &&
        error.effect === Effect.None;
      logFailure(peer, { call, sent: !unsent, error });
      if (unsent && !signal.aborted) return undefined;
      const end = signal.aborted
        ? buildEnded({ runs: unsent ? 0 : 1 })
        : buildEndpointFailed("the answer of a peer broke off", { runs: 1 });
      if (!answer.left.aborted) answerEnd(end, answer);
      return end;
    } finally {
      addOpen(peer, -1);
    }
  }

  return {
    async run(handed): Promise<ForwardEnd | undefined> {
      const { call, route, answer } = handed;
      const allowedMs = Math.min(route.timeoutMs, call.waitMs ?? Infinity);
      const endsMs = call.receivedMs + allowedMs + answerMarginMs;
      const leftMs = Math.max(endsMs - performance.now(), 0);
      if (!stopBound.mayRun(leftMs)) return undefined;
      const timeout = new AbortController();
      const timer = setTimeout(() => timeout.abort(), leftMs);
      const removeCallback = stopBound.onEnd(() => timeout.abort());
      const signal = AbortSignal.any([answer.left, timeout.signal]);
      const tried = new Set<string>();
      try {
        while (tried.size < maxPeers) {
          const peer = choosePeer(tried);
          if (!peer) return undefined;
          tried.add(peer.name);
          const end = await runAt(handed, { peer, signal });
          if (end) return { ...end, route: route.name };
        }
        return undefined;
      } finally {
        clearTimeout(timer);
        removeCallback();
      }
    },
  };
}

/** Passes the answer of a peer on to the caller; rejects if it breaks off. */
async function passAnswer(
  received: ChannelAnswer,
  { call, answer, held }: HandedCall & { readonly held: HeldBytes },
): Promise<ForwardEnd> {
  const { status } = received;
  const headers = pickPassedHeaders(received.headers);
  const length = findHeader(received.headers, "content-length");
  const unframed = findHeader(received.headers, LinkHeader.Unframed) !==
    undefined;
  const short = length !== undefined && Number(length) <= maxHeldBytes;
  if (unframed || short) {
    const body = await readAnswer(received, { held });
    answer.start(
      status,
      headers,
      unframed ? { untilClose: true } : { length: body.length },
    );
    void answer.write(body);
  } else {
    for await (const chunk of received.body) {
      startAnswer();
      await answer.write(chunk);
    }
    startAnswer();
  }
  answer.end();
  return {
    outcome: classifyStatus(status),
    status,
    runs: status === unavailable ? 0 : 1,
    firstByteMs: performance.now() - call.receivedMs,
  };

  function startAnswer(): void {
    if (answer.isStarted()) return;
    answer.start(status, headers, {
      length: length === undefined ? undefined : Number(length),
    });
  }
}

function classifyStatus(status: number): Outcome {
  if (status === unavailable) return Outcome.NotRun;
  return status > firstServerError ? Outcome.Unknown : Outcome.Done;
}
