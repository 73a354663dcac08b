/** A call that must not repeat: intent, read-back, one dispatch, record. */
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
import type { CallAnswer, CallContext, ServiceCall } from "./call_types.ts";
import { findLiveEndpoint, sendOnce } from "./dispatch.ts";
import { findRunAnswer } from "./look_up.ts";
import {
  refuseExpired,
  refuseLogOutage,
  refuseLongAnswer,
  refuseMismatch,
  refuseNoEndpoint,
  refuseUndecided,
  refuseUnknown,
  refuseVoidIntent,
} from "./refusals.ts";

/** Longest time that a call waits for its intent, in ms. */
const appendWaitMs = 5_000;
/** Longest time that an answer waits for its record, in ms. */
const recordWaitMs = 1_000;
/** Longest body of an answer that is kept for repeats, in characters. */
const maxKeptAnswerLength = 16_384;
/** Most endpoints that are tried while none has run the call. */
const maxAttempts = 2;

type CallEnd = Either<Refusal, CallAnswer>;

/** A keyed call under way. */
interface KeyedCall extends ServiceCall {
  readonly id: CallId;
  readonly bodyDigest: string;
}

/** Runs a call under its caller's key. */
export async function runKeyedCall(
  call: ServiceCall,
  context: CallContext,
  options: { readonly key: string },
): Promise<CallEnd> {
  const id = { caller: call.caller, key: options.key };
  const keyed = { ...call, id, bodyDigest: digestCall(call) };
  const known = findCall(context.book.stream.getState(), id);
  if (known) return await answerRepeat(keyed, context, { known });
  if (!context.book.claim(id)) return Left(refuseUndecided());
  try {
    return await runFirst(keyed, context);
  } finally {
    context.book.release(id);
  }
}

/** Digest of all that a repeat under the same key must share. */
export function digestCall(call: ServiceCall): string {
  const { method, path, body } = call.request;
  return digestText(JSON.stringify([call.service.name, method, path, body]));
}

async function runFirst(
  call: KeyedCall,
  context: CallContext,
): Promise<CallEnd> {
  const { book } = context;
  if (isKeyExpired(book.stream.getState(), call.id.key)) {
    return Left(refuseExpired());
  }
  const arrivedMs = performance.now();
  const intent = await appendIntent(call, context);
  if (intent === undefined) {
    const readMs = performance.now() - book.stream.getAgeMs();
    const known = findCall(book.stream.getState(), call.id);
    const isKeyFree = readMs > arrivedMs && known === undefined;
    return Left(refuseLogOutage({ isKeyFree }));
  }
  const entry = findCall(book.stream.getState(), call.id);
  if (!entry) {
    return Left(refuseVoidIntent(book.stream.getState(), call.id.key));
  }
  if (entry.intent !== intent && context.book.isLeft(entry)) {
    return await releaseIntent(call, context, { intent: entry.intent });
  }
  if (entry.intent !== intent) {
    return await answerRepeat(call, context, { known: entry });
  }
  return await sendCall(call, context, { intent });
}

/**
 * Appends the intent and reads it back; undefined when that failed or took too
 * long. An intent that lands after all is given up by the call book.
 */
async function appendIntent(
  call: KeyedCall,
  context: CallContext,
): Promise<LogPosition | undefined> {
  const { book } = context;
  const appended = book.stream.append([{
    kind: RecordKind.CallIntent,
    ...call.id,
    service: call.service.name,
    bodyDigest: call.bodyDigest,
    instance: book.instance,
  }]).then(([position]) => position, expectRemoteError);
  const abort = new AbortController();
  const signal = AbortSignal.any([call.signal, abort.signal]);
  const late = waitFor(appendWaitMs, signal).then(() => undefined);
  const position = await Promise.race([appended, late]);
  abort.abort();
  return position;
}

function expectRemoteError(error: unknown): undefined {
  if (!(error instanceof RemoteError)) throw error;
}

/** Dispatches a call whose intent won; tries another endpoint only while nothing ran. */
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
    context.book.noteDispatch(intent);
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

/** Whether nobody has settled the call since its intent was read back. */
function isUndecided(
  call: KeyedCall,
  context: CallContext,
  options: { readonly intent: LogPosition },
): boolean {
  const entry = findCall(context.book.stream.getState(), call.id);
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
    ...keepAnswer(options.answer),
  });
  return Right({ ...options.answer, outcome: Outcome.Done, repeated: false });
}

/** Settles a dispatched call without an answer: by look-up, else as unknown. */
async function settleUnknown(
  call: KeyedCall,
  context: CallContext,
  options: { readonly intent: LogPosition },
): Promise<CallEnd> {
  const { intent } = options;
  const answer = await findRunAnswer(call, context);
  if (answer) return await recordAnswer(call, context, { intent, answer });
  context.logEvent?.(callEvents.resultUnknown, { intent });
  await recordResult(call, context, { intent, result: CallResult.Unknown });
  return Left(refuseUnknown());
}

async function releaseIntent(
  call: KeyedCall,
  context: CallContext,
  options: { readonly intent: LogPosition },
): Promise<CallEnd> {
  const { intent } = options;
  await recordResult(call, context, { intent, result: CallResult.GivenUp });
  return Left(refuseNoEndpoint());
}

/** Records a result; the answer waits for the record only for a bounded time. */
async function recordResult(
  call: KeyedCall,
  context: CallContext,
  options: Pick<CallSettled, "intent" | "result" | "answer">,
): Promise<void> {
  const abort = new AbortController();
  const written = context.book.record({
    kind: RecordKind.CallSettled,
    ...call.id,
    ...options,
  });
  await Promise.race([written, waitFor(recordWaitMs, abort.signal)]);
  abort.abort();
}

/** Answers from what the log says of an earlier request with the same key. */
async function answerRepeat(
  call: KeyedCall,
  context: CallContext,
  options: { readonly known: CallEntry },
): Promise<CallEnd> {
  const { known } = options;
  if (known.bodyDigest !== call.bodyDigest) return Left(refuseMismatch());
  const own = context.book.findUnrecorded(known.intent);
  const answer = known.answer ?? own?.answer;
  if (answer) return Right(buildRepeat(answer));
  const found = await findRunAnswer(call, context);
  if (!found) {
    const done = (own?.result ?? known.result) === CallResult.Done;
    return Left(done ? refuseLongAnswer() : refuseUndecided());
  }
  context.logEvent?.(callEvents.settledByLookUp, { intent: known.intent });
  await recordResult(call, context, {
    intent: known.intent,
    result: CallResult.Done,
    ...keepAnswer(found),
  });
  return Right(buildRepeat(found));
}

/** Part of an answer's record; long answers are left out. */
function keepAnswer(answer: ServiceAnswer): { answer?: ServiceAnswer } {
  return answer.body.length <= maxKeptAnswerLength ? { answer } : {};
}

function buildRepeat(answer: ServiceAnswer): CallAnswer {
  return { ...answer, outcome: Outcome.Done, repeated: true };
}
