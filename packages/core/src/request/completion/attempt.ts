/** One attempt of a completion at one engine, with resumption on the same engine. */
import { randomUUID } from "node:crypto";
import { waitFor } from "../../shared/index.ts";
import {
  Effect,
  type EngineClient,
  type GenerateEvent,
  type GenerateRequest,
  RemoteError,
  RemoteFailure,
} from "../../types/index.ts";
import { streamWithProgress } from "./bounds.ts";
import type {
  AttemptWork,
  CompletionCall,
  CompletionParts,
  CompletionRoute,
} from "./types.ts";

/** Successive tries without a token at taking a broken stream up again. */
const maxResumes = 2;
const resumePauseMs = 50;

/** What an attempt starts from. */
export interface AttemptStart {
  readonly call: CompletionCall;
  readonly route: CompletionRoute;
  /** Tokens that earlier attempts delivered; grows with each delivered token. */
  readonly delivered: string[];
  readonly signal: AbortSignal;
}

/**
 * Runs one attempt and yields its new tokens and its finish. Rejects with
 * `RemoteError` when the engine cannot go on; a token is never yielded twice.
 */
export async function* streamAttempt(
  start: AttemptStart,
  parts: CompletionParts,
): AsyncGenerator<GenerateEvent> {
  const engine = parts.getEngine(start.route.engine);
  const work = parts.openWork(start.call, start.route);
  const attemptId = randomUUID();
  let finished = false;
  try {
    const request = await buildRequest(start, { parts, attemptId });
    const open = (signal: AbortSignal): AsyncIterable<GenerateEvent> =>
      engine.generate(request, signal);
    const resume = (signal: AbortSignal): AsyncIterable<GenerateEvent> =>
      engine.resume(
        { attemptId, fromIndex: start.delivered.length },
        signal,
      );
    yield* streamWithResumes(start, { open, resume, work });
    finished = true;
  } finally {
    work.close();
    if (!finished) cancelAttempt(engine, attemptId);
  }
}

/** Ways to get an attempt's stream. */
interface AttemptStreams {
  readonly open: (signal: AbortSignal) => AsyncIterable<GenerateEvent>;
  /** Continues after the tokens that were delivered. */
  readonly resume: (signal: AbortSignal) => AsyncIterable<GenerateEvent>;
  readonly work: AttemptWork;
}

/** Takes a broken stream up again for as long as each try brings tokens. */
async function* streamWithResumes(
  start: AttemptStart,
  streams: AttemptStreams,
): AsyncGenerator<GenerateEvent> {
  const { work } = streams;
  let open = streams.open;
  let broken: unknown;
  for (let failures = 0;;) {
    const before = start.delivered.length;
    try {
      const source = streamWithProgress({
        open,
        signal: start.signal,
        getBoundMs: work.getStallMs,
      });
      yield* passEvents(source, { start, work });
      return;
    } catch (error) {
      if (start.delivered.length > before) {
        failures = 0;
        broken = undefined;
      }
      // What broke the stream says more than what kept it from resuming.
      broken ??= error;
      failures += 1;
      if (!canResume(error, start) || failures > maxResumes) throw broken;
    }
    open = streams.resume;
    await waitFor(failures * resumePauseMs, start.signal);
  }
}

async function buildRequest(
  start: AttemptStart,
  { parts, attemptId }: {
    readonly parts: CompletionParts;
    readonly attemptId: string;
  },
): Promise<GenerateRequest> {
  const { call, route, delivered } = start;
  const request: GenerateRequest = {
    attemptId,
    model: call.model,
    adapter: call.adapter,
    prompt: call.prompt,
    resumeTokens: [...delivered],
    maxTokens: call.maxTokens,
    priority: call.priority,
    seed: call.seed,
  };
  if (!route.prefillOn) return request;
  try {
    const prefill = parts.getEngine(route.prefillOn);
    const kvHandle = await prefill.exportKv(request, start.signal);
    return { ...request, kvHandle };
  } catch (error) {
    if (start.signal.aborted) throw error;
    // The decoding engine can compute the prompt itself, at a cost in time only.
    return request;
  }
}

async function* passEvents(
  source: AsyncIterable<GenerateEvent>,
  { start, work }: { readonly start: AttemptStart; readonly work: AttemptWork },
): AsyncGenerator<GenerateEvent> {
  for await (const event of source) {
    if (event.kind === "finish") {
      yield event;
      return;
    }
    // A resumed stream may begin before the last token that was delivered.
    if (event.index < start.delivered.length) continue;
    if (event.index > start.delivered.length) {
      throw makeGapError(event.index, start.delivered.length);
    }
    if (start.delivered.length === 0) work.noteFirstToken();
    work.noteToken();
    start.delivered.push(event.text);
    yield event;
  }
  throw makeLossError("Stream ended without a finish");
}

function canResume(error: unknown, start: AttemptStart): boolean {
  if (start.signal.aborted || !(error instanceof RemoteError)) return false;
  // A request that never reached the engine has nothing to resume there.
  if (error.effect === Effect.None && start.delivered.length === 0) {
    return false;
  }
  const lost = [RemoteFailure.Unreachable, RemoteFailure.Timeout];
  return lost.includes(error.failure);
}

function makeGapError(index: number, expected: number): RemoteError {
  return makeLossError(`Token ${index} came where ${expected} was due`);
}

function makeLossError(message: string): RemoteError {
  return new RemoteError(message, {
    failure: RemoteFailure.Unreachable,
    effect: Effect.Unknown,
  });
}

function cancelAttempt(engine: EngineClient, attemptId: string): void {
  // An engine that cannot be reached ends the generation by itself.
  engine.cancel(attemptId).catch(() => undefined);
}
