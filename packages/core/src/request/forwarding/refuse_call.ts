/** Refusals of calls that no endpoint may or can run. */
import { EngineRole, Outcome, RefusalReason } from "../../types/index.ts";
import { crashEvents } from "../../process/crashes/index.ts";
import { streamEvents } from "../../process/streams/index.ts";
import { KeyVerdict } from "../workspaces/index.ts";
import { type CallState, confirmList, mayContinueAt } from "./attempt.ts";
import { buildEndpointFailed, buildNotRun, GatewayStatus } from "./ends.ts";
import { takePlaceTurn } from "./expect_room.ts";
import type { ForwardEnd } from "./types.ts";

/** Retry-after where no endpoint is listed, in ms: about half of an endpoint's heartbeat interval. */
const noEndpointRetryMs = 600;
/**
 * Retry-after where every endpoint is down or none generates, in ms: half of
 * the time that the restart of a crashed process or a role change takes.
 */
const allDownRetryMs = 2_500;
/** Longest retry-after of a refusal because of crashes, in ms. */
const maxCrashRetryMs = 60_000;
/** Retry-after while it is not known whether keys are valid, in ms: about one read of the configuration. */
const unconfirmedKeyRetryMs = 500;

/** Refuses a call whose key has been taken away, or is not known to be valid, since it arrived; undefined if it may be sent. */
function refuseKey(state: CallState): ForwardEnd | undefined {
  const { call, parts, workspace, runs } = state;
  const verdict = parts.keys?.findRefusal(call, workspace);
  if (!verdict) return undefined;
  return runs > 0
    ? buildEndpointFailed("the key of the call is not valid any more", { runs })
    : buildKeyRefused(verdict);
}

/** Builds the result of a call that does not run because of its key. */
export function buildKeyRefused(verdict: KeyVerdict): ForwardEnd {
  if (verdict === KeyVerdict.Unconfirmed || verdict === KeyVerdict.Moved) {
    return buildNotRun(
      RefusalReason.KeyUnconfirmed,
      verdict === KeyVerdict.Moved
        ? "another workspace holds the key since the call came"
        : "it is not known whether the key is valid",
      { retryAfterMs: unconfirmedKeyRetryMs },
    );
  }
  return {
    outcome: Outcome.NotRun,
    reason: RefusalReason.Unauthorized,
    status: GatewayStatus.Unauthorized,
    message: "no workspace holds the key",
    runs: 0,
  };
}

/** Refuses a call like those under which endpoints have crashed; undefined if it may be sent. */
export function refuseCrashing(state: CallState): ForwardEnd | undefined {
  const verdict = state.parts.crashes.findVerdict(state.call);
  if (!verdict) return undefined;
  const sinceCrashMs = performance.now() - verdict.lastCrashMs;
  state.parts.logEvent(crashEvents.callRefused, {
    call: state.call.id,
    trait: verdict.trait,
    crashes: verdict.crashes.length,
    lastCrash: verdict.crashes.at(-1),
    lastCrashAgeMs: Math.round(sinceCrashMs),
    runs: state.runs,
  });
  const message = "endpoints crash under calls like this one";
  return state.runs > 0
    ? buildEndpointFailed(message, { runs: state.runs })
    : buildNotRun(RefusalReason.Suspect, message, {
      retryAfterMs: maxCrashRetryMs,
    });
}

/** Refuses a call by what is known once the list of endpoints is recent enough; undefined if it may be sent. */
export async function refuseByNews(
  state: CallState,
): Promise<ForwardEnd | undefined> {
  await confirmList(state);
  return refuseKey(state) ?? refuseCrashing(state);
}

/**
 * Whether all endpoints that could run the call have refused it, so that a more
 * recent list is no help; where one of them failed, the list may show another.
 */
export function isRefusedByAll(state: CallState): boolean {
  const { endpoints, endpointTracker } = state.parts;
  if (state.excluded.size === 0 || state.runs > 0) return false;
  const fitting = endpoints.listAccepting(state.service).filter((endpoint) =>
    endpoint.role !== EngineRole.Prefill && mayContinueAt(state, endpoint)
  );
  return fitting.length > 0 &&
    fitting.every(({ name }) =>
      state.excluded.has(name) && !endpointTracker.isSuspended(name)
    );
}

/** Refuses a call for which no endpoint is left to try; `fullRetryMs` is the least retry-after where all are full. */
export function refuseWithoutEndpoint(
  state: CallState,
  fullRetryMs: number,
): ForwardEnd {
  const { endpoints, endpointTracker } = state.parts;
  const taking = endpoints.listAccepting(state.service);
  if (taking.length === 0) {
    return buildNotRun(RefusalReason.NoEndpoint, "no endpoint takes work", {
      retryAfterMs: noEndpointRetryMs,
    });
  }
  const fitting = taking.filter((endpoint) => mayContinueAt(state, endpoint));
  if (logAbsentVersion(state)) {
    return buildNotRun(
      RefusalReason.NoEndpoint,
      "no endpoint of the stream's software version takes work",
      { retryAfterMs: allDownRetryMs },
    );
  }
  const allDown = fitting.every(({ name, role }) =>
    role === EngineRole.Prefill || endpointTracker.isSuspended(name)
  );
  if (allDown) {
    return buildNotRun(RefusalReason.NoEndpoint, "all endpoints are down", {
      retryAfterMs: allDownRetryMs,
    });
  }
  const heldBack = fitting.filter(({ name, role }) =>
    state.heldBack.has(name) && role !== EngineRole.Prefill
  );
  if (heldBack.length > 0) {
    return buildNotRun(
      RefusalReason.Limited,
      "endpoints limit their requests",
      {
        retryAfterMs: state.parts.limits.refuse(heldBack, state.call.id),
      },
    );
  }
  return buildNotRun(RefusalReason.Overloaded, "all endpoints are full", {
    retryAfterMs: takePlaceTurn(state, fullRetryMs),
  });
}

/** Logs that no endpoint of the stream's version takes work, if that is so. */
export function logAbsentVersion(state: CallState): boolean {
  const { call, parts, origin, runs, service } = state;
  const taking = parts.endpoints.listAccepting(service);
  if (taking.some((endpoint) => mayContinueAt(state, endpoint))) return false;
  const versions = taking.map(({ softwareVersion = "" }) => softwareVersion);
  parts.logEvent(streamEvents.versionAbsent, {
    call: call.id,
    resumes: call.resumes,
    version: origin?.version,
    versions: [...new Set(versions)].join(" "),
    runs,
  });
  return true;
}
