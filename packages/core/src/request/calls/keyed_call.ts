/**
 * At-most-once calls under an idempotency key: append an intent to the log, read
 * it back, dispatch the call, record the result.
 */
import { type Either, Left, Right } from "purify-ts";
import {
  type CallEntry,
  callEvents,
  type CallId,
  type CallSettled,
  findCall,
  formatCallId,
  isKeyExpired,
} from "../../process/calls/index.ts";
import { digestText, waitFor } from "../../shared/index.ts";
import {
  CallResult,
  type LogPosition,
  Outcome,
  RecordKind,
  type Refusal,
  RemoteError,
  type ServiceAnswer,
} from "../../types/index.ts";
import {
  type CallAnswer,
  type CallContext,
  refuseUnsendable,
  type ServiceCall,
} from "./call_types.ts";
import { findLiveEndpoint, sendOnce } from "./dispatch.ts";
import { fetchAnswerByKey } from "./look_up.ts";
import {
  refuseExpired,
  refuseIgnoredIntent,
  refuseLogOutage,
  refuseLongAnswer,
  refuseMismatch,
  refuseNoEndpoint,
  refuseUndecided,
  refuseUnknown,
} from "./refusals.ts";

/** Longest wait for the append of an intent, in ms. */
const appendTimeoutMs = 5_000;
/** Longest delay of an answer by the write of its record, in ms. */
const recordTimeoutMs = 1_000;
/** Longest answer body stored for repeats of the call, in characters. */
const maxStoredAnswerLength = 16_384;
/** Maximum number of attempts while no endpoint has run the call. */
const maxAttempts = 2;

type CallEnd = Either<Refusal, CallAnswer>;

/** A call with its key and the digest that its repeats must match. */
interface KeyedCall extends ServiceCall {
  readonly id: CallId;
  readonly bodyDigest: string;
}

/** Runs a call under its caller's key, or answers it from an earlier request with the key. */
export async function runKeyedCall(
  call: ServiceCall,
  context: CallContext,
  options: { readonly key: string },
): Promise<CallEnd> {
  const id = { caller: call.caller, key: options.key };
  const keyed = { ...call, id, bodyDigest: digestCall(call) };
  const existing = findCall(context.callTracker.stream.getState(), id);
  if (existing) return await answerRepeat(keyed, context, { existing });
  // Fails while this instance handles another request with the key.
  if (!context.callTracker.claim(id)) return Left(refuseUndecided());
  try {
    return await runNewCall(keyed, context);
  } finally {
    context.callTracker.release(id);
  }
}

/** Digests service, method, path and body, which a repeat under the same key must share. */
export function digestCall(call: ServiceCall): string {
  const { method, path, body } = call.request;
  return digestText(JSON.stringify([call.service.name, method, path, body]));
}

async function runNewCall(
  call: KeyedCall,
  context: CallContext,
): Promise<CallEnd> {
  const { callTracker } = context;
  if (isKeyExpired(callTracker.stream.getState(), call.id.key)) {
    return Left(refuseExpired());
  }
  const refusal = refuseUnsendable(call, context);
  if (refusal) return Left(refusal);
  const arrivedMs = performance.now();
  const intent = await appendIntent(call, context);
  if (intent === undefined) {
    // The key counts as free only if the log was read after the call arrived
    // and has no intent for it.
    const readMs = performance.now() - callTracker.stream.getAgeMs();
    const existing = findCall(callTracker.stream.getState(), call.id);
    const isKeyFree = readMs > arrivedMs && existing === undefined;
    return Left(refuseLogOutage({ isKeyFree }));
  }
  const entry = findCall(callTracker.stream.getState(), call.id);
  if (!entry) {
    return Left(
      refuseIgnoredIntent(callTracker.stream.getState(), call.id.key),
    );
  }
  if (entry.intent !== intent && context.callTracker.isUndispatched(entry)) {
    return await releaseIntent(call, context, { intent: entry.intent });
  }
  if (entry.intent !== intent) {
    return await answerRepeat(call, context, { existing: entry });
  }
  return await sendCall(call, context, { intent });
}

/**
 * Appends the intent and reads it back; undefined when the append fails, takes
 * longer than `appendTimeoutMs` or the call is aborted. The call tracker
 * releases an intent that is appended later.
 */
async function appendIntent(
  call: KeyedCall,
  context: CallContext,
): Promise<LogPosition | undefined> {
  const { callTracker } = context;
  const appended = callTracker.stream.append([{
    kind: RecordKind.CallIntent,
    ...call.id,
    service: call.service.name,
    bodyDigest: call.bodyDigest,
    instance: callTracker.instance,
  }]).then(([position]) => position, ignoreRemoteError);
  const abort = new AbortController();
  const signal = AbortSignal.any([call.signal, abort.signal]);
  const late = waitFor(appendTimeoutMs, signal).then(() => undefined);
  const position = await Promise.race([appended, late]);
  abort.abort();
  return position;
}

function ignoreRemoteError(error: unknown): undefined {
  if (!(error instanceof RemoteError)) throw error;
}

/** Dispatches a call whose intent holds its key; tries another endpoint only if the last one did not run it. */
async function sendCall(
  call: KeyedCall,
  context: CallContext,
  options: { readonly intent: LogPosition },
): Promise<CallEnd> {
  const { intent } = options;
  const request = { ...call.request, key: formatCallId(call.id) };
  for (let attempt = 0; attempt < maxAttempts; attempt++) {
    const endpoint = await findLiveEndpoint(call, context);
    if (!endpoint || call.signal.aborted) break;
    if (!isUndecided(call, context, { intent })) break;
    context.callTracker.recordDispatch(intent);
    const client = context.openClient(endpoint);
    const end = await sendOnce({ ...call, request }, client);
    if (end.kind === "answered") {
      return await recordAnswer(call, context, { intent, answer: end.answer });
    }
    if (end.kind === "unknown") {
      return await settleUnknown(call, context, { intent });
    }
  }
  return await releaseIntent(call, context, { intent });
}

/** Whether the intent still holds the key and has no result. */
function isUndecided(
  call: KeyedCall,
  context: CallContext,
  options: { readonly intent: LogPosition },
): boolean {
  const entry = findCall(context.callTracker.stream.getState(), call.id);
  return entry?.intent === options.intent && entry.result === undefined;
}

async function recordAnswer(
  call: KeyedCall,
  context: CallContext,
  options: { readonly intent: LogPosition; readonly answer: ServiceAnswer },
): Promise<CallEnd> {
  await recordResult(call, context, {
    intent: options.intent,
    result: CallResult.Done,
    ...buildAnswerField(options.answer),
  });
  return Right({ ...options.answer, outcome: Outcome.Done, repeated: false });
}

/** Settles a dispatched call that got no answer: by look-up at the service, or else as unknown. */
async function settleUnknown(
  call: KeyedCall,
  context: CallContext,
  options: { readonly intent: LogPosition },
): Promise<CallEnd> {
  const { intent } = options;
  const answer = await fetchAnswerByKey(call, context);
  if (answer) return await recordAnswer(call, context, { intent, answer });
  context.logEvent?.(callEvents.resultUnknown, { intent });
  await recordResult(call, context, { intent, result: CallResult.Unknown });
  return Left(refuseUnknown());
}

/** Records that the call was given up before any endpoint ran it, and refuses it. */
async function releaseIntent(
  call: KeyedCall,
  context: CallContext,
  options: { readonly intent: LogPosition },
): Promise<CallEnd> {
  const { intent } = options;
  await recordResult(call, context, { intent, result: CallResult.GivenUp });
  return Left(refuseNoEndpoint());
}

/** Records a result; waits at most `recordTimeoutMs` for the write, which continues afterwards. */
async function recordResult(
  call: KeyedCall,
  context: CallContext,
  options: Pick<CallSettled, "intent" | "result" | "answer">,
): Promise<void> {
  const abort = new AbortController();
  const written = context.callTracker.record({
    kind: RecordKind.CallSettled,
    ...call.id,
    ...options,
  });
  await Promise.race([written, waitFor(recordTimeoutMs, abort.signal)]);
  abort.abort();
}

/** Answers a repeat from the log, from this instance's unwritten results, or by look-up at the service. */
async function answerRepeat(
  call: KeyedCall,
  context: CallContext,
  options: { readonly existing: CallEntry },
): Promise<CallEnd> {
  const { existing } = options;
  if (existing.bodyDigest !== call.bodyDigest) return Left(refuseMismatch());
  const unrecorded = context.callTracker.findUnrecorded(existing.intent);
  const answer = existing.answer ?? unrecorded?.answer;
  if (answer) return Right(buildRepeatAnswer(answer));
  const found = await fetchAnswerByKey(call, context);
  if (!found) {
    // A call that is done without a stored answer had one that was too long.
    const done = (unrecorded?.result ?? existing.result) === CallResult.Done;
    return Left(done ? refuseLongAnswer() : refuseUndecided());
  }
  context.logEvent?.(callEvents.settledByLookUp, { intent: existing.intent });
  await recordResult(call, context, {
    intent: existing.intent,
    result: CallResult.Done,
    ...buildAnswerField(found),
  });
  return Right(buildRepeatAnswer(found));
}

/** Returns the answer field of a record, without answers longer than `maxStoredAnswerLength`. */
function buildAnswerField(answer: ServiceAnswer): { answer?: ServiceAnswer } {
  return answer.body.length <= maxStoredAnswerLength ? { answer } : {};
}

function buildRepeatAnswer(answer: ServiceAnswer): CallAnswer {
  return { ...answer, outcome: Outcome.Done, repeated: true };
}
