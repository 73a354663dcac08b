/** Streams one completion, retrying on other engines within a bound. */
import {
  Effect,
  type EndpointName,
  Outcome,
  type Refusal,
  RefusalReason,
  RemoteError,
  RemoteFailure,
} from "../../types/index.ts";
import type { StopBound } from "../forwarding/index.ts";
import { type AttemptStart, streamAttempt } from "./attempt.ts";
import {
  AttemptEnd,
  type CompletionCall,
  type CompletionDependencies,
  type CompletionEvent,
} from "./types.ts";

/** Maximum number of attempts of one request, each at a different engine. */
const maxAttempts = 4;
/** Retry delay sent with a refusal when no estimate exists, in ms. */
const defaultRetryAfterMs = 1_000;

/** Progress of a completion across its attempts. */
interface RunState {
  /** Tokens yielded to the caller, in order. */
  readonly delivered: string[];
  /** Engines that failed or refused the request and are not tried again. */
  readonly excluded: Set<EndpointName>;
  /** Software version that delivered the first token; undefined before it. */
  softwareVersion: string | undefined;
  /** Whether an engine may have run the request. */
  dispatched: boolean;
  deadlinePassed: boolean;
}

/**
 * Runs a completion and yields its tokens in order, each once, then its finish
 * or its refusal. Ends without a final event only when `options.signal` aborts.
 * Its deadline passes early once `options.stopBound` ends the calls.
 */
export async function* streamCompletion(
  call: CompletionCall,
  dependencies: CompletionDependencies,
  options: { readonly signal: AbortSignal; readonly stopBound?: StopBound },
): AsyncGenerator<CompletionEvent> {
  const state: RunState = {
    delivered: [],
    excluded: new Set(),
    softwareVersion: undefined,
    dispatched: false,
    deadlinePassed: false,
  };
  const deadline = new AbortController();
  const passDeadline = (): void => {
    state.deadlinePassed = true;
    deadline.abort();
  };
  const timer = setTimeout(passDeadline, call.deadlineMs);
  const removeCallback = options.stopBound?.onEnd(passDeadline);
  const signal = AbortSignal.any([options.signal, deadline.signal]);
  try {
    const admitted = (await dependencies.admit(call, signal)).extract();
    if (isRefusal(admitted)) {
      yield {
        kind: "refused",
        refusal: state.deadlinePassed
          ? refuseDeadlineExceeded(state)
          : admitted,
      };
      return;
    }
    let finished = false;
    try {
      for await (
        const event of streamAttempts(call, dependencies, { state, signal })
      ) {
        finished ||= event.kind === "finish";
        if (event.kind === "token") admitted.recordFirstToken();
        yield event;
      }
    } finally {
      admitted.close({
        outputTokens: state.delivered.length,
        useful: finished,
      });
    }
  } finally {
    clearTimeout(timer);
    removeCallback?.();
  }
}

async function* streamAttempts(
  call: CompletionCall,
  dependencies: CompletionDependencies,
  options: { readonly state: RunState; readonly signal: AbortSignal },
): AsyncGenerator<CompletionEvent> {
  const { state, signal } = options;
  for (let attempt = 1;; attempt++) {
    const chosen = await dependencies.chooseRoute(call, state.excluded, {
      signal,
      softwareVersion: state.softwareVersion,
    });
    const route = chosen.extract();
    if (isRefusal(route)) {
      if (signal.aborted && !state.deadlinePassed) return;
      yield {
        kind: "refused",
        refusal: state.deadlinePassed
          ? refuseDeadlineExceeded(state)
          : refuseRoute(route, state),
      };
      return;
    }
    const start = { call, route, delivered: state.delivered, signal };
    const version = dependencies.getSoftwareVersion(route.engine);
    const failure = yield* runAttempt(start, { dependencies, state });
    if (state.delivered.length > 0) state.softwareVersion ??= version;
    if (!failure) return;
    if (signal.aborted) {
      if (state.deadlinePassed) {
        yield { kind: "refused", refusal: refuseDeadlineExceeded(state) };
      }
      return;
    }
    state.excluded.add(route.engine);
    if (
      attempt < maxAttempts &&
      dependencies.allowRetry(route.engine, {
        delivered: state.delivered.length,
      })
    ) continue;
    yield { kind: "refused", refusal: refuseEndpointFailed(failure, state) };
    return;
  }
}

/** Yields an attempt's events; returns its error if it fails. */
async function* runAttempt(
  start: AttemptStart,
  { dependencies, state }: {
    readonly dependencies: CompletionDependencies;
    readonly state: RunState;
  },
): AsyncGenerator<CompletionEvent, RemoteError | undefined> {
  const { call, route } = start;
  let end = AttemptEnd.Abandoned;
  try {
    yield* streamAttempt(start, dependencies);
    state.dispatched = true;
    end = AttemptEnd.Finished;
    return undefined;
  } catch (error) {
    if (!(error instanceof RemoteError)) throw error;
    if (error.effect === Effect.Unknown) state.dispatched = true;
    end = start.signal.aborted ? AttemptEnd.Abandoned : classifyFailure(error);
    return error;
  } finally {
    const { engine } = route;
    await dependencies.handleAttemptEnd(call, {
      engine,
      end,
      signal: start.signal,
    });
  }
}

function classifyFailure(error: RemoteError): AttemptEnd {
  const refusals = [
    RemoteFailure.Busy,
    RemoteFailure.Refused,
    RemoteFailure.RateLimited,
  ];
  return refusals.includes(error.failure)
    ? AttemptEnd.Refused
    : AttemptEnd.Lost;
}

function refuseDeadlineExceeded(state: RunState): Refusal {
  return {
    reason: RefusalReason.DeadlineExceeded,
    outcome: deriveOutcome(state),
    message: "The answer was not complete within the caller's deadline",
    retryAfterMs: defaultRetryAfterMs,
  };
}

/** Refuses a call for which no further engine is found; the reasons for that promise that it has not run. */
function refuseRoute(refusal: Refusal, state: RunState): Refusal {
  const outcome = deriveOutcome(state);
  const promises = refusal.reason !== RefusalReason.Suspect;
  return {
    ...refusal,
    outcome,
    reason: promises && outcome === Outcome.Unknown
      ? RefusalReason.EndpointFailed
      : refusal.reason,
  };
}

function refuseEndpointFailed(failure: RemoteError, state: RunState): Refusal {
  return {
    reason: RefusalReason.EndpointFailed,
    outcome: deriveOutcome(state),
    message: `No engine completed the request: ${failure.message}`,
    retryAfterMs: failure.retryAfterMs ?? defaultRetryAfterMs,
  };
}

function deriveOutcome(state: RunState): Outcome {
  return state.dispatched || state.delivered.length > 0
    ? Outcome.Unknown
    : Outcome.NotRun;
}

function isRefusal(value: Refusal | object): value is Refusal {
  return "reason" in value && "outcome" in value;
}
