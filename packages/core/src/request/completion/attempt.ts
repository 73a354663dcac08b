/** Runs one attempt of a completion at one engine and resumes its stream after a break. */
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
import { streamWithStallTimeout } from "./stall_timeout.ts";
import type {
  AttemptWork,
  CompletionCall,
  CompletionDependencies,
  CompletionRoute,
} from "./types.ts";

/** Maximum number of consecutive resumes that deliver no token. */
const maxResumes = 2;
/** Delay before a resume for each consecutive failure, in ms. */
const resumePauseMs = 50;

/** Request, route and progress that an attempt starts from. */
export interface AttemptStart {
  readonly call: CompletionCall;
  readonly route: CompletionRoute;
  /** Tokens delivered by all attempts so far; this attempt appends its own. */
  readonly delivered: string[];
  readonly signal: AbortSignal;
}

/**
 * Runs one attempt and yields its new tokens and its finish event. Throws
 * `RemoteError` when the engine fails; never yields a token twice.
 */
export async function* streamAttempt(
  start: AttemptStart,
  dependencies: CompletionDependencies,
): AsyncGenerator<GenerateEvent> {
  const engine = dependencies.getEngine(start.route.engine);
  const work = dependencies.openWork(start.call, start.route);
  const attemptId = randomUUID();
  let finished = false;
  try {
    const request = await buildRequest(start, { dependencies, attemptId });
    assertNotLeaving(start, dependencies);
    const open = (signal: AbortSignal): AsyncIterable<GenerateEvent> =>
      engine.generate(request, signal);
    const resume = (signal: AbortSignal): AsyncIterable<GenerateEvent> =>
      engine.resume(
        { attemptId, fromIndex: start.delivered.length },
        signal,
      );
    const allowResume = (): boolean =>
      dependencies.allowResume(start.route.engine, start.call);
    yield* streamWithResumes(start, { open, resume, allowResume, work });
    finished = true;
  } finally {
    work.close();
    if (!finished) cancelAttempt(engine, attemptId);
  }
}

/** Functions that open or resume an attempt's stream. */
interface StreamSources {
  readonly open: (signal: AbortSignal) => AsyncIterable<GenerateEvent>;
  /** Resumes after the last delivered token. */
  readonly resume: (signal: AbortSignal) => AsyncIterable<GenerateEvent>;
  /** Whether the engine has room for a resume; counts it. */
  readonly allowResume: () => boolean;
  readonly work: AttemptWork;
}

/** Resumes a broken stream until `maxResumes` consecutive resumes deliver no token. */
async function* streamWithResumes(
  start: AttemptStart,
  streams: StreamSources,
): AsyncGenerator<GenerateEvent> {
  const { work } = streams;
  let open = streams.open;
  let firstError: unknown;
  for (let failures = 0;;) {
    const deliveredBefore = start.delivered.length;
    try {
      const source = streamWithStallTimeout({
        open,
        signal: start.signal,
        getStallTimeoutMs: work.getStallTimeoutMs,
      });
      yield* forwardEvents(source, { start, work });
      return;
    } catch (error) {
      if (start.delivered.length > deliveredBefore) {
        failures = 0;
        firstError = undefined;
      }
      // Report the error that broke the stream rather than the later resume errors.
      firstError ??= error;
      failures += 1;
      if (!canResume(error, start) || failures > maxResumes) throw firstError;
      if (!streams.allowResume()) throw firstError;
    }
    open = streams.resume;
    await waitFor(failures * resumePauseMs, start.signal);
  }
}

async function buildRequest(
  start: AttemptStart,
  { dependencies, attemptId }: {
    readonly dependencies: CompletionDependencies;
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
  if (!route.prefillEngine) return request;
  try {
    const prefill = dependencies.getEngine(route.prefillEngine);
    const kvHandle = await prefill.exportKv(request, start.signal);
    return { ...request, kvHandle };
  } catch (error) {
    if (start.signal.aborted) throw error;
    // Without the exported KV cache, the decoding engine computes the prompt itself, which is only slower.
    return request;
  }
}

/** Throws if the engine announced that it is leaving while the prompt was exported. */
function assertNotLeaving(
  { route }: AttemptStart,
  dependencies: CompletionDependencies,
): void {
  if (!route.prefillEngine || !dependencies.isLeaving(route.engine)) return;
  throw new RemoteError("Engine is leaving", {
    failure: RemoteFailure.Refused,
    effect: Effect.None,
  });
}

async function* forwardEvents(
  source: AsyncIterable<GenerateEvent>,
  { start, work }: { readonly start: AttemptStart; readonly work: AttemptWork },
): AsyncGenerator<GenerateEvent> {
  for await (const event of source) {
    if (event.kind === "finish") {
      yield event;
      return;
    }
    // A resumed stream may repeat tokens that were already delivered.
    if (event.index < start.delivered.length) continue;
    if (event.index > start.delivered.length) {
      throw makeGapError(event.index, start.delivered.length);
    }
    if (start.delivered.length === 0) work.recordFirstToken();
    work.recordToken();
    start.delivered.push(event.text);
    yield event;
  }
  throw makeStreamError("Stream ended without a finish");
}

function canResume(error: unknown, start: AttemptStart): boolean {
  if (start.signal.aborted || !(error instanceof RemoteError)) return false;
  // A request that had no effect at the engine has no stream to resume.
  if (error.effect === Effect.None && start.delivered.length === 0) {
    return false;
  }
  const lost = [RemoteFailure.Unreachable, RemoteFailure.Timeout];
  return lost.includes(error.failure);
}

function makeGapError(index: number, expected: number): RemoteError {
  return makeStreamError(`Token ${index} came where ${expected} was due`);
}

function makeStreamError(message: string): RemoteError {
  return new RemoteError(message, {
    failure: RemoteFailure.Unreachable,
    effect: Effect.Unknown,
  });
}

function cancelAttempt(engine: EngineClient, attemptId: string): void {
  // An unreachable engine ends the generation by itself.
  engine.cancel(attemptId).catch(() => undefined);
}
