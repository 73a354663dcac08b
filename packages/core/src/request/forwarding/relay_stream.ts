/** Streams the answer of an engine to the caller as it arrives. */
import { type ListedEndpoint, Outcome } from "../../types/index.ts";
import {
  CallEnd,
  type OpenBacklog,
  type OpenCall,
} from "../../process/fleet/index.ts";
import { startPolledTimer } from "../../shared/index.ts";
import { buildMalformed, closeAnswer, readBody } from "./answer_body.ts";
import { confirmWhole, getAgeMs, mayRunAgain } from "./attempt.ts";
import { buildUnproven, isPromise } from "./ends.ts";
import { createEventSplitter, createStreamEnd } from "./event_splitter.ts";
import { recordBegun, recordFailure, recordWhole } from "./record_end.ts";
import { isRunOnce } from "./refusal_proofs.ts";
import type { StreamState } from "./stream_state.ts";
import type { EndpointAnswer, ForwardEnd } from "./types.ts";

/** An engine's run of a call whose answer headers have arrived. */
export interface EngineRun {
  readonly answer: EndpointAnswer;
  readonly engine: ListedEndpoint;
  readonly open: OpenCall;
  /** Present if the engine computes the prompt and such work is counted. */
  readonly backlog?: OpenBacklog;
  /** Aborts the run and its connection. */
  readonly abort: AbortController;
}

const success = 200;
const redirect = 300;
/** Idle timeout after which a resumable stream moves to another engine, in ms: several times the pauses of full engines. */
const streamIdleTimeoutMs = 1_500;
/** Longest event of a stream that can resume, in bytes, as its bytes are held until it ends. */
const maxEventBytes = 1_048_576;

/** Relays a run to its end; returns an error if the stream broke or the call may run at another engine. */
export async function relayRun(
  state: StreamState,
  run: EngineRun,
): Promise<ForwardEnd | Error> {
  const { answer, open, engine } = run;
  const { status } = answer.head;
  if (status < success || status >= redirect) {
    run.backlog?.cancel();
    return await relayFailure(state, run);
  }
  let end = CallEnd.Answered;
  try {
    await relayEvents(state, run);
    recordWhole(state, engine, answer);
    state.answer.end();
    return {
      outcome: Outcome.Done,
      status,
      endpoint: engine.name,
      framed: answer.framed,
      runs: state.runs,
      firstByteMs: state.firstByteMs,
      exportedMs: state.exportedMs,
      headMs: state.headMs,
    };
  } catch (error) {
    end = recordFailure(state, engine, { error, step: "stream" });
    await closeAnswer(answer);
    return error instanceof Error ? error : new Error(String(error));
  } finally {
    run.backlog?.cancel();
    open.close(end);
  }
}

async function relayEvents(state: StreamState, run: EngineRun): Promise<void> {
  const { answer, open, engine } = run;
  const { weightsVersion = state.weightsVersion } = answer.head;
  if (weightsVersion !== (state.weightsVersion ?? weightsVersion)) {
    throw buildMalformed("engine has other weights than the stream needs");
  }
  // If the stream can resume, the caller must get complete events only.
  const splitter = state.route.resumable ? createEventSplitter() : undefined;
  const end = createStreamEnd();
  const idleTimer = splitter &&
    startPolledTimer(() => run.abort.abort(), streamIdleTimeoutMs);
  try {
    for await (const chunk of answer.body) {
      open.markPromptComputed();
      run.backlog?.finish();
      recordBegun(state);
      idleTimer?.restart();
      end.add(chunk);
      const split = splitter ? splitter.add(chunk) : { bytes: chunk };
      if ((splitter?.countBuffered() ?? 0) > maxEventBytes) {
        throw buildMalformed("event is too long");
      }
      if (!split) continue;
      state.lastId = split.lastId ?? state.lastId;
      if (splitter) {
        recordOrigin(state, engine);
        state.weightsVersion =
          state.parts.sender.findWeightsVersion(split.bytes) ??
            state.weightsVersion ?? weightsVersion;
      }
      startAnswer(state, run);
      await state.answer.write(split.bytes);
    }
    if (!end.isWhole(answer)) throw buildMalformed("stream ended too early");
    await confirmWhole(state, engine, answer);
    startAnswer(state, run);
  } finally {
    idleTimer?.cancel();
  }
}

/** Records where the stream began before its first event reaches the caller; once for each call. */
function recordOrigin(state: StreamState, engine: ListedEndpoint): void {
  if (state.originRecorded) return;
  state.originRecorded = true;
  const { call, parts, service } = state;
  state.origin ??= { service, version: engine.softwareVersion ?? "" };
  const began = call.resumeAfter === undefined ? call.id : call.resumes;
  if (began !== undefined) parts.origins.recordBegun(began, engine);
}

/** Begins the caller's answer, in chunks also where the engine's has no length: one that ends with its connection would look complete if this process ended. */
function startAnswer(
  state: StreamState,
  { answer: { head }, engine }: EngineRun,
): void {
  if (state.answer.isStarted()) return;
  const options = head.leaving ? { leaving: engine } : undefined;
  state.answer.start(head.status, head.headers, options);
  state.firstByteMs = getAgeMs(state);
}

/** Relays an engine's error answer, unless the call may run at another engine or the caller's answer has started. */
async function relayFailure(
  state: StreamState,
  { answer, engine, open }: EngineRun,
): Promise<ForwardEnd | Error> {
  try {
    const body = await readBody(answer, { held: state.parts.held });
    open.close(CallEnd.Failed);
    const { status, headers, leaving } = answer.head;
    if (mayRunAgain(state) || state.answer.isStarted()) {
      state.excluded.add(engine.name);
      return new Error(`engine answered with status ${status}`);
    }
    if (isRunOnce(state) && isPromise(status)) {
      return buildUnproven(status, { runs: state.runs, endpoint: engine.name });
    }
    state.answer.start(status, headers, {
      length: body.length,
      ...leaving && { leaving: engine },
    });
    await state.answer.write(body);
    state.answer.end();
    return {
      outcome: Outcome.Done,
      status,
      endpoint: engine.name,
      framed: answer.framed,
      runs: state.runs,
    };
  } catch (error) {
    open.close(recordFailure(state, engine, { error, step: "stream" }));
    return error instanceof Error ? error : new Error(String(error));
  }
}
