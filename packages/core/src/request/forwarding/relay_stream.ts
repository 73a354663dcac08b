/** Passes the answer of an engine on to the caller as it arrives. */
import { type ListedEndpoint, Outcome } from "../../types/index.ts";
import { CallEnd, type OpenCall } from "../../process/fleet/index.ts";
import {
  closeAnswer,
  getAgeMs,
  mayRunAgain,
  noteFailure,
  readBody,
} from "./attempt.ts";
import { createEventSplitter } from "./event_splitter.ts";
import type { StreamState } from "./stream_state.ts";
import type { EndpointAnswer, ForwardEnd } from "./types.ts";

/** An answer that an engine has begun. */
export interface Run {
  readonly answer: EndpointAnswer;
  readonly engine: ListedEndpoint;
  readonly open: OpenCall;
  /** Ends the run. */
  readonly abort: AbortController;
}

const success = 200;
const redirect = 300;
/** Silence after which a stream that resumes goes on elsewhere, in ms: several times the pauses of full engines. */
const silentStreamMs = 1_500;

/** Relays a run; returns the error of a stream that broke. */
export async function relayRun(
  state: StreamState,
  run: Run,
): Promise<ForwardEnd | Error> {
  const { answer, open, engine } = run;
  const { status } = answer.head;
  if (status < success || status >= redirect) {
    return await relayFailure(state, run);
  }
  let end = CallEnd.Answered;
  try {
    await relayEvents(state, run);
    state.answer.end();
    return {
      outcome: Outcome.Done,
      status,
      endpoint: engine.name,
      runs: state.runs,
      firstByteMs: state.firstByteMs,
      exportedMs: state.exportedMs,
      headMs: state.headMs,
    };
  } catch (error) {
    end = noteFailure(state, engine, { error, step: "stream" });
    await closeAnswer(answer);
    return error instanceof Error ? error : new Error(String(error));
  } finally {
    open.close(end);
  }
}

async function relayEvents(state: StreamState, run: Run): Promise<void> {
  const { answer, open } = run;
  // A broken event must not reach the caller where the stream may resume.
  const splitter = state.route.resumable ? createEventSplitter() : undefined;
  const silence = splitter &&
    setTimeout(() => run.abort.abort(), silentStreamMs);
  try {
    for await (const chunk of answer.body) {
      open.noteRead();
      silence?.refresh();
      const split = splitter ? splitter.add(chunk) : { bytes: chunk };
      if (!split) continue;
      state.lastId = split.lastId ?? state.lastId;
      startAnswer(state, answer);
      await state.answer.write(split.bytes);
    }
    startAnswer(state, answer);
    const rest = splitter?.takeRest();
    if (rest && rest.length > 0) await state.answer.write(rest);
  } finally {
    clearTimeout(silence);
  }
}

function startAnswer(
  state: StreamState,
  { head, framed }: EndpointAnswer,
): void {
  if (state.answer.isStarted()) return;
  state.answer.start(head.status, head.headers, { untilClose: !framed });
  state.firstByteMs = getAgeMs(state);
}

/** Passes an engine's own failure on, unless the call may go on elsewhere. */
async function relayFailure(
  state: StreamState,
  { answer, engine, open }: Run,
): Promise<ForwardEnd | Error> {
  try {
    const body = await readBody(answer);
    open.close(CallEnd.Failed);
    const { status, headers } = answer.head;
    if (mayRunAgain(state) || state.answer.isStarted()) {
      state.excluded.add(engine.name);
      return new Error(`engine answered with status ${status}`);
    }
    state.answer.start(status, headers, { length: body.length });
    await state.answer.write(body);
    state.answer.end();
    return {
      outcome: Outcome.Done,
      status,
      endpoint: engine.name,
      runs: state.runs,
    };
  } catch (error) {
    open.close(noteFailure(state, engine, { error, step: "stream" }));
    return error instanceof Error ? error : new Error(String(error));
  }
}
