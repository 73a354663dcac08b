/** Forwards one call: finds its route, runs it, answers the caller and logs the result. */
import {
  CallKind,
  type ForwardCall,
  type ForwardRoute,
  Outcome,
  RefusalReason,
} from "../../types/index.ts";
import { TopicBasis } from "../../process/fleet/index.ts";
import type { StreamOrigin } from "../../process/streams/index.ts";
import type { RouteIndex } from "../../version/routes/index.ts";
import {
  type KeyDecision,
  KeyVerdict,
  workspaceEvents,
} from "../workspaces/index.ts";
import type { CallState } from "./attempt.ts";
import {
  buildNotRun,
  buildStopping,
  buildTimedOut,
  GatewayStatus,
} from "./ends.ts";
import { forwardEvents } from "./events.ts";
import { buildKeyRefused } from "./refuse_call.ts";
import { runGeneration } from "./run_generation.ts";
import { runPlain } from "./run_plain.ts";
import { recordNoRoom, refuseBeyondShare } from "./share_room.ts";
import type { CallerAnswer, ForwardDependencies, ForwardEnd } from "./types.ts";

const msPerSecond = 1_000;
/** Part of the caller's wait reserved for sending the answer back, in ms. */
const answerMarginMs = 10;
/** Retry-after where the origin of a stream is not known, in ms: reports of its first instance may be on their way. */
const unknownOriginRetryMs = 700;

/** Runs a call with one version of the configuration and answers the caller unless it has disconnected. */
export async function runForward(
  call: ForwardCall,
  version: RouteIndex,
  { answer, parts }: {
    readonly answer: CallerAnswer;
    readonly parts: ForwardDependencies;
  },
): Promise<ForwardEnd> {
  const route = version.findRoute(call.host, getPath(call.target));
  const end = route
    ? await runOnRoute(call, { route, version, answer, parts })
    : buildNoRoute();
  if (!answer.left.aborted) answerEnd(end, answer);
  logEnd(call, end, { route, version, answer, parts });
  return { ...end, route: route?.name };
}

/** Route, configuration version and dependencies of one call. */
interface RunOptions {
  readonly route: ForwardRoute;
  readonly version: RouteIndex;
  readonly answer: CallerAnswer;
  readonly parts: ForwardDependencies;
}

async function runOnRoute(
  call: ForwardCall,
  { route, version, answer, parts }: RunOptions,
): Promise<ForwardEnd> {
  const decision = parts.keys?.judge(call, route);
  if (decision && decision.verdict !== KeyVerdict.Granted) {
    return refuseAtArrival(call, { route, parts, ...decision });
  }
  const workspace = decision?.workspace;
  const end = await runGranted(call, {
    route,
    version,
    answer,
    parts,
    workspace,
  });
  return workspace ? { ...end, workspace: workspace.name } : end;
}

/** Runs a call that may run under its key. */
async function runGranted(
  call: ForwardCall,
  { route, version, answer, parts, workspace }:
    & RunOptions
    & Pick<KeyDecision, "workspace">,
): Promise<ForwardEnd> {
  const origin = await findOrigin(call, { route, parts });
  if (origin === "unknown") return buildUnknownOrigin();
  const service = origin?.service ??
    version.pickService(route, parts.random());
  parts.budget.recordCall(service);
  parts.activity?.recordOffered({
    service,
    promptTokens: call.work?.promptTokens ?? 0,
    outputTokens: call.work?.outputTokens ?? 0,
  });
  const offered = {
    call,
    service,
    workspace: workspace?.name,
    takesUp: origin !== undefined,
  };
  const beyondShare = refuseBeyondShare(parts, offered);
  if (beyondShare) {
    parts.activity?.recordRefused(service);
    return beyondShare;
  }
  const allowedMs = Math.min(
    route.timeoutMs,
    (call.waitMs ?? route.timeoutMs) - answerMarginMs,
  );
  const leftMs = Math.max(call.receivedMs + allowedMs - performance.now(), 0);
  const { stopBound } = parts;
  if (!stopBound.mayRun(leftMs)) return buildStopping({ runs: 0 });
  const timeout = new AbortController();
  const timer = setTimeout(() => timeout.abort(), leftMs);
  const removeCallback = stopBound.onEnd(() => timeout.abort());
  const state: CallState = {
    call,
    route,
    service,
    workspace: workspace?.name,
    rank: workspace?.rank ?? route.rank,
    answer,
    parts,
    exportTtlMs: version.getService(service)?.engines?.exportTtlMs ?? 0,
    deadlineMs: performance.now() + Math.min(leftMs, stopBound.getLeftMs()),
    signal: AbortSignal.any([answer.left, timeout.signal]),
    excluded: new Set(),
    considered: new Set(),
    heldBack: new Set(),
    listBasis: TopicBasis.Current,
    origin,
    runs: 0,
    sends: 0,
  };
  try {
    const end = route.kind === CallKind.Stream
      ? await runGeneration(state)
      : await runPlain(state);
    if (isRefusedForRoom(end)) parts.activity?.recordRefused(service);
    return recordNoRoom(convertStopped(end, state), { parts, answer, offered });
  } catch (error) {
    if (!state.signal.aborted) throw error;
    const end = buildTimedOut({ runs: state.runs });
    return recordNoRoom(convertStopped(end, state), { parts, answer, offered });
  } finally {
    clearTimeout(timer);
    removeCallback();
  }
}

/** Refuses a call that may not run under its key. */
function refuseAtArrival(
  call: ForwardCall,
  { route, parts, verdict }:
    & Pick<RunOptions, "route" | "parts">
    & KeyDecision,
): ForwardEnd {
  if (verdict === KeyVerdict.Unknown) {
    parts.logEvent(workspaceEvents.keyUnknown, {
      call: call.id,
      route: route.name,
      hasKey: call.key !== undefined,
    });
  }
  return buildKeyRefused(verdict);
}

/** Whether a call did not run because there was too little room. */
function isRefusedForRoom({ reason }: ForwardEnd): boolean {
  return reason === RefusalReason.Overloaded ||
    reason === RefusalReason.ShareUsed || reason === RefusalReason.NoEndpoint;
}

/** Names the stop as the reason of a call whose time it has ended. */
function convertStopped(
  end: ForwardEnd,
  { parts, answer }: CallState,
): ForwardEnd {
  const isStopped = end.reason === RefusalReason.DeadlineExceeded &&
    parts.stopBound.getLeftMs() <= 0 && !answer.left.aborted;
  return isStopped ? buildStopping(end) : end;
}

/** Finds where the stream began that the call takes up, if it does; "unknown" if it must not go on. */
async function findOrigin(
  call: ForwardCall,
  { route, parts }: Pick<RunOptions, "route" | "parts">,
): Promise<StreamOrigin | undefined | "unknown"> {
  if (route.kind !== CallKind.Stream || call.resumeAfter === undefined) {
    return undefined;
  }
  const services = route.targets.map(({ service }) => service);
  const origin = await parts.origins.resolve({
    call: call.id,
    resumes: call.resumes,
    services,
  });
  // What two services write does not fit together either.
  return origin && services.includes(origin.service) ? origin : "unknown";
}

function buildUnknownOrigin(): ForwardEnd {
  return buildNotRun(
    RefusalReason.VersionUnknown,
    "the software version that began the stream is not known",
    { retryAfterMs: unknownOriginRetryMs },
  );
}

function buildNoRoute(): ForwardEnd {
  return {
    outcome: Outcome.NotRun,
    reason: RefusalReason.UnknownService,
    status: GatewayStatus.NotFound,
    message: "no route takes this path",
    runs: 0,
  };
}

/** Sends the answer to a call that no endpoint answered; closes the connection if an answer has already started. */
export function answerEnd(end: ForwardEnd, answer: CallerAnswer): void {
  if (end.outcome === Outcome.Done) return;
  if (answer.isStarted()) return answer.cut();
  const message = Buffer.from(`${end.message ?? ""}\n`);
  const headers = ["content-type", "text/plain"];
  if (end.retryAfterMs !== undefined) {
    headers.push("retry-after", String(end.retryAfterMs / msPerSecond));
  }
  answer.start(end.status, headers, { length: message.length });
  void answer.write(message);
  answer.end();
}

function logEnd(
  call: ForwardCall,
  end: ForwardEnd,
  options: Partial<RunOptions> & Omit<RunOptions, "route">,
): void {
  const { route, version, answer, parts } = options;
  const done = end.outcome === Outcome.Done;
  parts.logEvent(done ? forwardEvents.ended : forwardEvents.refused, {
    call: call.id,
    route: route?.name,
    workspace: end.workspace,
    version: version.version,
    outcome: end.outcome,
    status: end.status,
    reason: end.reason,
    message: end.message,
    retryAfterMs: formatMs(end.retryAfterMs),
    endpoint: end.endpoint,
    framed: end.framed,
    runs: end.runs,
    left: answer.left.aborted,
    exportedMs: formatMs(end.exportedMs),
    headMs: formatMs(end.headMs),
    firstByteMs: formatMs(end.firstByteMs),
    tookMs: Math.round(performance.now() - call.receivedMs),
  });
}

function formatMs(ms: number | undefined): number | undefined {
  return ms === undefined ? undefined : Math.round(ms);
}

/** Path of a call's target, without its query. */
export function getPath(target: string): string {
  const query = target.indexOf("?");
  return query < 0 ? target : target.slice(0, query);
}
