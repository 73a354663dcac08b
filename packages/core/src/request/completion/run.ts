/** One completion from admission to its last token, over as many attempts as it needs. */
import {
  Effect,
  type EndpointName,
  Outcome,
  type Refusal,
  RefusalReason,
  RemoteError,
  RemoteFailure,
} from "../../types/index.ts";
import { type AttemptStart, streamAttempt } from "./attempt.ts";
import {
  AttemptEnd,
  type CompletionCall,
  type CompletionEvent,
  type CompletionParts,
} from "./types.ts";

/** Engines that one request may be sent to. */
const maxAttempts = 4;
/** Pause that a refused caller is told where no estimate exists, in ms. */
const defaultRetryAfterMs = 1_000;

/** What a run knows of its own past. */
interface RunState {
  readonly delivered: string[];
  readonly excluded: Set<EndpointName>;
  /** Whether any attempt may have run at an engine. */
  dispatched: boolean;
  deadlinePassed: boolean;
}

/**
 * Runs a completion and yields its tokens in order, each once, then its finish
 * or its refusal. Ends without a final event only when the caller has left.
 */
export async function* streamCompletion(
  call: CompletionCall,
  parts: CompletionParts,
  options: { readonly signal: AbortSignal },
): AsyncGenerator<CompletionEvent> {
  const state: RunState = {
    delivered: [],
    excluded: new Set(),
    dispatched: false,
    deadlinePassed: false,
  };
  const deadline = new AbortController();
  const timer = setTimeout(() => {
    state.deadlinePassed = true;
    deadline.abort();
  }, call.deadlineMs);
  const signal = AbortSignal.any([options.signal, deadline.signal]);
  try {
    const admitted = (await parts.admit(call, signal)).extract();
    if (isRefusal(admitted)) {
      yield {
        kind: "refused",
        refusal: state.deadlinePassed ? refuseLate(state) : admitted,
      };
      return;
    }
    let finished = false;
    try {
      for await (
        const event of streamAttempts(call, parts, { state, signal })
      ) {
        finished ||= event.kind === "finish";
        if (event.kind === "token") admitted.noteFirstToken();
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
  }
}

async function* streamAttempts(
  call: CompletionCall,
  parts: CompletionParts,
  options: { readonly state: RunState; readonly signal: AbortSignal },
): AsyncGenerator<CompletionEvent> {
  const { state, signal } = options;
  for (let attempt = 1;; attempt++) {
    const chosen = await parts.choose(call, state.excluded, { signal });
    const route = chosen.extract();
    if (isRefusal(route)) {
      if (signal.aborted && !state.deadlinePassed) return;
      yield {
        kind: "refused",
        refusal: state.deadlinePassed
          ? refuseLate(state)
          : { ...route, outcome: tellOutcome(state) },
      };
      return;
    }
    const start = { call, route, delivered: state.delivered, signal };
    const failure = yield* runAttempt(start, { parts, state });
    if (!failure) return;
    if (signal.aborted) {
      if (state.deadlinePassed) {
        yield { kind: "refused", refusal: refuseLate(state) };
      }
      return;
    }
    state.excluded.add(route.engine);
    if (
      attempt < maxAttempts &&
      parts.allowRetry(route.engine, { delivered: state.delivered.length })
    ) continue;
    yield { kind: "refused", refusal: refuseFailed(failure, state) };
    return;
  }
}

/** Yields an attempt's events; returns its error where it did not finish. */
async function* runAttempt(
  start: AttemptStart,
  { parts, state }: {
    readonly parts: CompletionParts;
    readonly state: RunState;
  },
): AsyncGenerator<CompletionEvent, RemoteError | undefined> {
  const { call, route } = start;
  let end = AttemptEnd.Abandoned;
  try {
    yield* streamAttempt(start, parts);
    state.dispatched = true;
    end = AttemptEnd.Finished;
    return undefined;
  } catch (error) {
    if (!(error instanceof RemoteError)) throw error;
    if (error.effect === Effect.Unknown) state.dispatched = true;
    end = start.signal.aborted ? AttemptEnd.Abandoned : classifyEnd(error);
    return error;
  } finally {
    const { engine } = route;
    await parts.noteAttemptEnd(call, { engine, end, signal: start.signal });
  }
}

function classifyEnd(error: RemoteError): AttemptEnd {
  const refusals = [
    RemoteFailure.Busy,
    RemoteFailure.Refused,
    RemoteFailure.RateLimited,
  ];
  return refusals.includes(error.failure)
    ? AttemptEnd.Refused
    : AttemptEnd.Lost;
}

function refuseLate(state: RunState): Refusal {
  return {
    reason: RefusalReason.DeadlineExceeded,
    outcome: tellOutcome(state),
    message: "The answer was not complete within the caller's deadline",
    retryAfterMs: defaultRetryAfterMs,
  };
}

function refuseFailed(failure: RemoteError, state: RunState): Refusal {
  return {
    reason: RefusalReason.EndpointFailed,
    outcome: tellOutcome(state),
    message: `No engine completed the request: ${failure.message}`,
    retryAfterMs: failure.retryAfterMs ?? defaultRetryAfterMs,
  };
}

function tellOutcome(state: RunState): Outcome {
  return state.dispatched || state.delivered.length > 0
    ? Outcome.Unknown
    : Outcome.NotRun;
}

function isRefusal(value: Refusal | object): value is Refusal {
  return "reason" in value && "outcome" in value;
}
