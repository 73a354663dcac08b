/** Forwards a call to a plain service; the answer is read completely before any of it is sent to the caller. */
import {
  CallKind,
  Effect,
  type ListedEndpoint,
  Outcome,
  RemoteError,
  RemoteFailure,
} from "../../types/index.ts";
import { CallEnd } from "../../process/fleet/index.ts";
import { dropBody, readBody } from "./answer_body.ts";
import {
  allowSend,
  type CallState,
  confirmWhole,
  formatListAge,
  getAgeMs,
  getLeftMs,
  isUnsent,
  mayRunAgain,
  OutdatedChoiceError,
  sendCall,
  takeBackSend,
} from "./attempt.ts";
import { chooseEndpoint } from "./choose_endpoint.ts";
import {
  buildEndpointFailed,
  buildTimedOut,
  buildUnproven,
  isPromise,
} from "./ends.ts";
import { forwardEvents } from "./events.ts";
import {
  isRefusedByAll,
  refuseByNews,
  refuseCrashing,
  refuseWithoutEndpoint,
} from "./refuse_call.ts";
import {
  classifyRefusal,
  recordBegun,
  recordFailure,
  recordWhole,
} from "./record_end.ts";
import { isRunOnce } from "./refusal_proofs.ts";
import type { EndpointAnswer, ForwardEnd } from "./types.ts";
import { startStopwatch, type Stopwatch } from "./stopwatch.ts";
import { releaseRepeat, watchAttempt } from "./watch_attempt.ts";

/** An answer whose body has been read completely. */
interface WholeAnswer {
  readonly answer: EndpointAnswer;
  readonly body: Buffer;
  readonly endpoint: ListedEndpoint;
}

const firstFailure = 400;
const firstServerError = 500;
/** Least retry-after if all endpoints are full, in ms: a few of their calls have ended by then. */
const fullRetryMs = 250;
/** Longest idle time of a connection that shows that its endpoint can be reached by a call that must not be repeated, in ms. */
const maxIdleMs = 2_500;

/** Runs the call to its end, with retries where its kind allows them. */
export async function runPlain(state: CallState): Promise<ForwardEnd> {
  try {
    return await runAttempts(state);
  } finally {
    releaseRepeat(state);
  }
}

async function runAttempts(state: CallState): Promise<ForwardEnd> {
  let fallback: WholeAnswer | undefined;
  let lost: ForwardEnd | undefined;
  while (!state.signal.aborted) {
    const { secured } = state;
    state.secured = undefined;
    if (!secured && isRefusedByAll(state)) break;
    const refusal = secured
      ? undefined
      : refuseCrashing(state) ?? await refuseByNews(state);
    if (refusal) {
      if (fallback) break;
      return refusal;
    }
    const endpoint = secured ?? chooseEndpoint(state, getMaxIdleMs(state));
    if (!endpoint) break;
    if (!secured && !allowSend(state)) break;
    const attempt = await callEndpoint(state, endpoint);
    if (attempt instanceof Error) {
      if (attempt instanceof OutdatedChoiceError) takeBackSend(state);
      if (isUnsent(attempt)) continue;
      state.runs += 1;
      recordBegun(state);
      lost = buildEndpointFailed(attempt.message, {
        runs: state.runs,
        endpoint: endpoint.name,
      });
      if (!mayRunAgain(state)) break;
      continue;
    }
    if (attempt.answer.head.notRun) continue;
    state.runs += 1;
    recordBegun(state);
    const { status } = attempt.answer.head;
    if (isRunOnce(state) && isPromise(status)) {
      return buildUnproven(status, {
        runs: state.runs,
        endpoint: endpoint.name,
      });
    }
    fallback = attempt;
    if (!isServerError(attempt) || !mayRunAgain(state)) break;
    state.excluded.add(endpoint.name);
  }
  if (fallback && !state.answer.left.aborted) {
    return answerWhole(state, fallback);
  }
  if (state.signal.aborted) return buildTimedOut({ runs: state.runs });
  return lost ?? refuseWithoutEndpoint(state, fullRetryMs);
}

/** Longest idle time of a connection that shows that an endpoint can be reached, in ms; undefined means no limit. */
function getMaxIdleMs({ route }: CallState): number | undefined {
  return route.kind === CallKind.Idempotent ? undefined : maxIdleMs;
}

async function callEndpoint(
  state: CallState,
  endpoint: ListedEndpoint,
): Promise<WholeAnswer | Error> {
  const { parts, route } = state;
  const repeatable = route.kind === CallKind.Idempotent;
  const open = parts.endpointTracker.openCall(endpoint.name);
  parts.logEvent(forwardEvents.placed, {
    call: state.call.id,
    endpoint: endpoint.name,
    calls: parts.endpointTracker.getLoad(endpoint.name).calls,
    leftMs: Math.round(getLeftMs(state)),
    listAgeMs: formatListAge(parts),
  });
  const { calls } = parts.endpointTracker.getLoad(endpoint.name);
  const sentMs = performance.now();
  const stopwatch = startStopwatch(parts);
  const watch = repeatable && state.runs + 1 < route.maxEndpoints
    ? watchAttempt(state, { endpoint, sentMs })
    : undefined;
  const signal = watch
    ? AbortSignal.any([state.signal, watch.signal])
    : state.signal;
  const recordTime = (): void => {
    if (!stopwatch.isReliable()) return;
    parts.capacities.recordWork(endpoint.name, {
      service: state.service,
      kind: route.name,
      units: Math.max(calls / Math.max(endpoint.slots, 1), 1),
      tookMs: stopwatch.getMs(),
    });
  };
  let end = CallEnd.Answered;
  try {
    const answer = await sendCall(state, {
      endpoint,
      getLeftMs: () => getLeftMs(state),
      rank: state.rank,
    }, { signal });
    const { load, status } = answer.head;
    if (answer.head.notRun) {
      parts.capacities.recordStated(endpoint, load);
      await dropBody(answer);
      end = classifyRefusal(status);
      state.excluded.add(endpoint.name);
      return { answer, body: Buffer.alloc(0), endpoint };
    }
    const body = await readBody(answer, { held: parts.held });
    await confirmWhole(state, endpoint, answer);
    if (isServerError({ answer })) {
      end = CallEnd.Failed;
    } else {
      if (status < firstFailure) {
        recordTime();
        recordUsual(state, endpoint, { stopwatch });
      }
      recordWhole(state, endpoint, answer);
    }
    parts.capacities.recordStated(endpoint, load);
    return { answer, body, endpoint };
  } catch (error) {
    const replaced = watch?.signal.aborted && !state.signal.aborted;
    const failure = replaced
      ? new RemoteError("endpoint did not answer in time", {
        failure: RemoteFailure.Timeout,
        effect: Effect.Unknown,
        cause: error,
      })
      : error;
    end = recordFailure(state, endpoint, { error: failure, step: "call" });
    // A deadline says something about the endpoint only past what its service explains.
    if (isOver(state) && watch?.isLate()) end = CallEnd.Late;
    // It takes this long at least.
    if (replaced || end === CallEnd.Late) recordTime();
    return failure instanceof Error ? failure : new Error(String(failure));
  } finally {
    watch?.stop();
    open.close(end);
  }
}

/** Whether the call's time is over while its caller waits and the instance runs on. */
function isOver({ answer, parts, signal }: CallState): boolean {
  return signal.aborted && !answer.left.aborted &&
    parts.stopBound.getLeftMs() > 0;
}

/** Records how long the answer took, for calls that are not answered yet. */
function recordUsual(
  { parts, service, route }: CallState,
  endpoint: ListedEndpoint,
  { stopwatch }: { readonly stopwatch: Stopwatch },
): void {
  if (!stopwatch.isReliable()) return;
  parts.usualTimes.record({ service, route: route.name }, {
    endpoint: endpoint.name,
    tookMs: stopwatch.getMs(),
  });
}

function isServerError(
  { answer }: { readonly answer: EndpointAnswer },
): boolean {
  return answer.head.status >= firstServerError;
}

function answerWhole(state: CallState, whole: WholeAnswer): ForwardEnd {
  const { head, framed } = whole.answer;
  state.answer.start(head.status, head.headers, {
    ...framed ? { length: whole.body.length } : { untilClose: true },
    ...head.leaving && { leaving: whole.endpoint },
  });
  const firstByteMs = getAgeMs(state);
  void state.answer.write(whole.body);
  state.answer.end();
  return {
    outcome: Outcome.Done,
    status: head.status,
    endpoint: whole.endpoint.name,
    framed,
    runs: state.runs,
    firstByteMs,
  };
}
