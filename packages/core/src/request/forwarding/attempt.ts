/** What both kinds of calls share: the state of one call and its sends. */
import {
  CallKind,
  Effect,
  EngineRole,
  type ForwardCall,
  type ForwardRoute,
  type ListedEndpoint,
  RefusalReason,
  RemoteError,
  RemoteFailure,
  type SendFacts,
  type ServiceName,
} from "../../types/index.ts";
import { CallEnd } from "../../process/fleet/index.ts";
import { refuseUnrun } from "./ends.ts";
import { forwardEvents } from "./events.ts";
import type {
  CallerAnswer,
  EndpointAnswer,
  ForwardEnd,
  ForwardParts,
} from "./types.ts";

/** One call on its way. */
export interface CallState {
  readonly call: ForwardCall;
  readonly route: ForwardRoute;
  readonly service: ServiceName;
  readonly answer: CallerAnswer;
  readonly parts: ForwardParts;
  /** Time for which engines keep an exported prompt, in ms; 0 on plain services. */
  readonly exportTtlMs: number;
  /** End of the caller's wait or of the route's time-out, on the clock of `performance.now()`. */
  readonly endsMs: number;
  /** Aborts when the caller has left or the time is over. */
  readonly signal: AbortSignal;
  /** Endpoints that failed the call. */
  readonly excluded: Set<string>;
  /** Endpoints that may have run the call. */
  runs: number;
  /** Sends that count for the budget of repeats. */
  sends: number;
}

/** An answer that is not the endpoint's whole and genuine one. */
export class WrongAnswerError extends Error {
  /** Says what is wrong with it. */
  constructor(message: string) {
    super(message);
    this.name = "WrongAnswerError";
  }
}

const success = 200;
const redirect = 300;
/** When to come back where no endpoint is listed, in ms: about half a heartbeat of theirs. */
const noEndpointRetryMs = 600;
/**
 * When to come back where every endpoint is down, or none generates, in ms:
 * half of the time that a crashed process or a change of roles takes.
 */
const allDownRetryMs = 2_500;
/** Another process has the address, or the engine has another role. */
const misdirected = 421;

/** Time left, in ms. */
export function getLeftMs(state: CallState): number {
  return state.endsMs - performance.now();
}

/** Time since the receipt of the call, in ms. */
export function getAgeMs(state: CallState): number {
  return performance.now() - state.call.receivedMs;
}

/** Whether the call may run at one more endpoint after it may have run at others. */
export function mayRunAgain(state: CallState): boolean {
  const { route } = state;
  const repeatable = route.kind === CallKind.Idempotent || route.resumable;
  return repeatable && state.runs < route.maxEndpoints;
}

/** Whether the budget allows one more send; the first is free. */
export function allowSend(state: CallState): boolean {
  state.sends += 1;
  if (state.sends === 1) return true;
  if (state.parts.budget.allowRepeat(state.service)) return true;
  state.parts.logEvent(forwardEvents.repeatRefused, {
    call: state.call.id,
    service: state.service,
    sends: state.sends,
  });
  return false;
}

/** Sends the call and checks that the answer belongs to it. */
export async function sendCall(
  state: CallState,
  facts: SendFacts,
  options: { readonly signal: AbortSignal; readonly maxIdleMs?: number },
): Promise<EndpointAnswer> {
  const answer = await state.parts.sender.send(state.call, facts, options);
  const wrong = findWrong(answer, state, facts);
  if (wrong === undefined) return answer;
  await closeAnswer(answer);
  throw new WrongAnswerError(wrong);
}

function findWrong(
  { head }: EndpointAnswer,
  state: CallState,
  { exportOnly }: { readonly exportOnly?: boolean },
): string | undefined {
  const { callId } = head;
  if (callId !== undefined && callId !== state.call.id) {
    return "answer belongs to another call";
  }
  const succeeded = head.status >= success && head.status < redirect;
  if (!succeeded) return undefined;
  if (callId === undefined) return "answer names no call";
  // The answer to an export is for this instance and bears no mark.
  if (!head.genuine && !exportOnly) return "answer is not the endpoint's own";
  return head.encoded ? "answer is in an encoding nobody asked for" : undefined;
}

/** Refuses a call for which no endpoint is left; it comes back after `fullRetryMs` where all were full. */
export function refuseForRoom(
  state: CallState,
  fullRetryMs: number,
): ForwardEnd {
  const { endpoints, board } = state.parts;
  const taking = endpoints.listTaking(state.service);
  if (taking.length === 0) {
    return refuseUnrun(RefusalReason.NoEndpoint, "no endpoint takes work", {
      retryAfterMs: noEndpointRetryMs,
    });
  }
  const allDown = taking.every(({ name, role }) =>
    role === EngineRole.Prefill || board.isSuspended(name)
  );
  if (allDown) {
    return refuseUnrun(RefusalReason.NoEndpoint, "all endpoints are down", {
      retryAfterMs: allDownRetryMs,
    });
  }
  return refuseUnrun(RefusalReason.Overloaded, "all endpoints are full", {
    retryAfterMs: fullRetryMs,
  });
}

/** Reads the whole body of an answer. */
export async function readBody(answer: EndpointAnswer): Promise<Buffer> {
  const chunks: Buffer[] = [];
  for await (const chunk of answer.body) chunks.push(chunk);
  return Buffer.concat(chunks);
}

/** Gives an answer up; its connection closes unless the body has ended. */
export async function closeAnswer(answer: EndpointAnswer): Promise<void> {
  await answer.body[Symbol.asyncIterator]().return?.();
}

/** Whether the failed send certainly did not run the call. */
export function isUnsent(error: unknown): boolean {
  return error instanceof RemoteError && error.effect === Effect.None;
}

/** What an endpoint's refusal to run a call says of it. */
export function classifyRefusal(status: number): CallEnd {
  return status === misdirected ? CallEnd.Down : CallEnd.Full;
}

/** Notes a failed send in the log; tells what it says of the endpoint. */
export function noteFailure(
  state: CallState,
  endpoint: ListedEndpoint,
  { error, step }: { readonly error: unknown; readonly step: string },
): CallEnd {
  if (state.signal.aborted) return CallEnd.Withdrawn;
  state.excluded.add(endpoint.name);
  state.parts.logEvent(forwardEvents.sendFailed, {
    call: state.call.id,
    step,
    endpoint: endpoint.name,
    leftMs: Math.round(getLeftMs(state)),
    unsent: isUnsent(error),
    error: error instanceof Error ? error.message : String(error),
  });
  const late = error instanceof RemoteError &&
    error.failure === RemoteFailure.Timeout;
  if (late) return CallEnd.Late;
  return isUnsent(error) ? CallEnd.Down : CallEnd.Failed;
}
