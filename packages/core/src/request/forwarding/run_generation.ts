/**
 * Forwards a stream from an engine: places it, has the prompt computed where
 * that is sooner, and passes events on as they arrive. A broken stream of a
 * route that resumes goes on at another engine after its last whole event.
 */
import {
  Effect,
  type ExportedPrompt,
  type GenerationWork,
  Outcome,
  RefusalReason,
  RemoteError,
  RemoteFailure,
} from "../../types/index.ts";
import { CallEnd, type OpenCall } from "../../process/fleet/index.ts";
import {
  allowSend,
  type CallState,
  closeAnswer,
  getAgeMs,
  getLeftMs,
  isUnsent,
  mayRunAgain,
  noteFailure,
  readBody,
  sendCall,
} from "./attempt.ts";
import { buildLost, buildTimedOut, refuseUnrun } from "./ends.ts";
import { createEventSplitter } from "./event_splitter.ts";
import { forwardEvents } from "./events.ts";
import { placeGeneration, type Placement } from "./place_generation.ts";
import type { EndpointAnswer, ForwardEnd } from "./types.ts";

/** An answer that runs, and what is known of its stream. */
interface Run {
  readonly answer: EndpointAnswer;
  readonly placement: Placement;
  readonly open: OpenCall;
  readonly abort: AbortController;
}

/** How far the caller's answer is. */
interface Progress {
  lastId: string | undefined;
  firstByteMs: number | undefined;
  exportedMs: number | undefined;
  headMs: number | undefined;
}

const success = 200;
const redirect = 300;
const noEngineRetryMs = 700;
const fullRetryMs = 400;
/** Factor on an export's expected time after which it is tried elsewhere. */
const lateExportFactor = 2;
const lateExportMs = 800;
/** Silence after which a stream that resumes goes on elsewhere, in ms: several times the pauses of full engines. */
const silentStreamMs = 1_500;

/** Runs the stream to its end. */
export async function runGeneration(state: CallState): Promise<ForwardEnd> {
  const progress: Progress = {
    lastId: state.call.resumeAfter,
    firstByteMs: undefined,
    exportedMs: undefined,
    headMs: undefined,
  };
  let lost: ForwardEnd | undefined;
  while (!state.signal.aborted) {
    const placement = place(state);
    if (!placement) break;
    const run = await startRun(state, placement, progress);
    if (run === undefined) break;
    if (run instanceof Error) {
      if (isUnsent(run)) continue;
      state.runs += 1;
      lost = buildLost(run.message, {
        runs: state.runs,
        endpoint: placement.engine.name,
      });
      if (!mayRunAgain(state)) break;
      continue;
    }
    state.runs += 1;
    const end = await relayRun(state, run, progress);
    if (!(end instanceof Error)) return end;
    lost = buildLost(end.message, {
      runs: state.runs,
      endpoint: placement.engine.name,
    });
    if (!mayRunAgain(state)) break;
    state.parts.logEvent(forwardEvents.resumed, {
      call: state.call.id,
      after: progress.lastId,
      runs: state.runs,
    });
  }
  if (state.signal.aborted) return buildTimedOut({ runs: state.runs });
  return lost ?? refuseUnplaced(state);
}

function refuseUnplaced(state: CallState): ForwardEnd {
  const taking = state.parts.endpoints.listTaking(state.service).length;
  return taking === 0
    ? refuseUnrun(RefusalReason.NoEndpoint, "no engine takes work", {
      retryAfterMs: noEngineRetryMs,
    })
    : refuseUnrun(RefusalReason.Overloaded, "no engine has room", {
      retryAfterMs: fullRetryMs,
    });
}

function place(state: CallState): Placement | undefined {
  const { parts, service } = state;
  const placement = placeGeneration(getWork(state), {
    service,
    engines: parts.endpoints.listTaking(service)
      .filter(({ name }) => !parts.isChanging(name)),
    exclude: state.excluded,
    board: parts.board,
    speeds: parts.speeds,
    ownDomain: parts.ownDomain,
  });
  parts.logEvent(forwardEvents.placed, {
    call: state.call.id,
    endpoint: placement?.engine.name,
    exporter: placement?.exporter?.name,
    copyFrom: placement?.copyFrom?.name,
    readMs: placement && Math.round(placement.readMs),
    tokens: placement && placement.readTokens + placement.exportTokens,
    promptTokens: state.call.work?.promptTokens,
    part: state.call.work?.parts.at(-2)?.id,
    leftMs: Math.round(getLeftMs(state)),
  });
  return placement;
}

function getWork(state: CallState): GenerationWork {
  return state.call.work ??
    { model: "", promptTokens: 1, outputTokens: 1, parts: [] };
}

/** Computes the prompt where planned and starts the generation; undefined where the budget is spent. */
async function startRun(
  state: CallState,
  placement: Placement,
  progress: Progress,
): Promise<Run | Error | undefined> {
  let exported: ExportedPrompt | undefined;
  if (placement.exporter) {
    const result = await exportPrompt(state, placement);
    if (result instanceof Error || result === undefined) return result;
    exported = result;
    progress.exportedMs = getAgeMs(state);
  }
  if (!allowSend(state)) {
    releaseExport(state, placement, exported);
    return undefined;
  }
  return await sendRun(state, { placement, exported }, progress);
}

async function sendRun(
  state: CallState,
  plan: { readonly placement: Placement; readonly exported?: ExportedPrompt },
  progress: Progress,
): Promise<Run | Error> {
  const { parts, route } = state;
  const { placement, exported } = plan;
  const { engine } = placement;
  const open = parts.board.openCall(engine.name, {
    readTokens: placement.readTokens,
    parts: getWork(state).parts,
  });
  const abort = new AbortController();
  const signal = AbortSignal.any([state.signal, abort.signal]);
  try {
    const answer = await sendCall(state, {
      endpoint: engine,
      leftMs: getLeftMs(state),
      rank: route.rank,
      exported,
      copyFrom: exported ? undefined : placement.copyFrom,
      resumeAfter: progress.lastId,
    }, { signal });
    const { status, notRun } = answer.head;
    progress.headMs = getAgeMs(state);
    if (!notRun) return { answer, placement, open, abort };
    await readBody(answer).catch(() => undefined);
    state.excluded.add(engine.name);
    open.close(CallEnd.Full);
    parts.logEvent(forwardEvents.sendFailed, {
      call: state.call.id,
      step: "generate",
      endpoint: engine.name,
      unsent: true,
      error: `engine refused with status ${status}`,
    });
    releaseExport(state, placement, exported);
    return buildUnrun(`engine refused with status ${status}`);
  } catch (error) {
    releaseExport(state, placement, exported);
    open.close(noteFailure(state, engine, { error, step: "generate" }));
    return error instanceof Error ? error : new Error(String(error));
  }
}

/** Has the prompt computed; an export does not run the call and may be repeated. */
async function exportPrompt(
  state: CallState,
  placement: Placement,
): Promise<ExportedPrompt | Error | undefined> {
  const { parts, route, service } = state;
  const { exporter, exportTokens } = placement;
  if (!exporter) return undefined;
  if (state.excluded.size > 0 && !parts.budget.allowRepeat(service)) {
    return undefined;
  }
  const ahead = parts.board.getLoad(exporter.name).readTokens;
  const open = parts.board.openCall(exporter.name, {
    readTokens: exportTokens,
    parts: getWork(state).parts,
  });
  const late = new AbortController();
  const timer = setTimeout(
    () => late.abort(),
    placement.readMs * lateExportFactor + lateExportMs,
  );
  const sentMs = performance.now();
  let end = CallEnd.Answered;
  try {
    const answer = await sendCall(state, {
      endpoint: exporter,
      leftMs: getLeftMs(state),
      rank: route.rank,
      exportOnly: true,
      copyFrom: placement.copyFrom,
    }, { signal: AbortSignal.any([state.signal, late.signal]) });
    const body = await readBody(answer);
    const exported = answer.head.status === success && !answer.head.notRun
      ? parts.sender.decodeExport(exporter, body)
      : undefined;
    if (exported) {
      open.noteRead();
      parts.speeds.noteRead(service, {
        tokens: ahead + exportTokens,
        tookMs: performance.now() - sentMs,
      });
      return exported;
    }
    state.excluded.add(exporter.name);
    end = CallEnd.Full;
    const message = `engine refused an export with status ${answer.head.status}`;
    parts.logEvent(forwardEvents.sendFailed, {
      call: state.call.id,
      step: "export",
      endpoint: exporter.name,
      unsent: true,
      error: message,
    });
    return buildUnrun(message);
  } catch (error) {
    end = noteFailure(state, exporter, { error, step: "export" });
    return buildUnrun(error instanceof Error ? error.message : String(error));
  } finally {
    clearTimeout(timer);
    open.close(end);
  }
}

function buildUnrun(message: string): RemoteError {
  return new RemoteError(message, {
    failure: RemoteFailure.Refused,
    effect: Effect.None,
  });
}

function releaseExport(
  state: CallState,
  placement: Placement,
  exported: ExportedPrompt | undefined,
): void {
  if (!exported || !placement.exporter) return;
  state.parts.logEvent(forwardEvents.exportUnused, {
    call: state.call.id,
    endpoint: placement.exporter.name,
  });
  state.parts.sender.releaseExport(placement.exporter, exported);
}

/** Passes a run's answer on; returns the error of a stream that broke. */
async function relayRun(
  state: CallState,
  run: Run,
  progress: Progress,
): Promise<ForwardEnd | Error> {
  const { answer, open, placement } = run;
  const succeeded = answer.head.status >= success &&
    answer.head.status < redirect;
  if (!succeeded || !answer.head.genuine) {
    return await relayFailure(state, run);
  }
  let end = CallEnd.Answered;
  try {
    await relayEvents(state, run, progress);
    state.answer.end();
    return {
      outcome: Outcome.Done,
      status: answer.head.status,
      endpoint: placement.engine.name,
      runs: state.runs,
      ...progress,
    };
  } catch (error) {
    end = noteFailure(state, placement.engine, { error, step: "stream" });
    await closeAnswer(answer);
    return error instanceof Error ? error : new Error(String(error));
  } finally {
    open.close(end);
  }
}

async function relayEvents(
  state: CallState,
  run: Run,
  progress: Progress,
): Promise<void> {
  const { answer, open } = run;
  const splitter = state.route.resumable ? createEventSplitter() : undefined;
  const silence = setTimeout(
    () => run.abort.abort(),
    silentStreamMs + run.placement.readMs,
  );
  try {
    for await (const chunk of answer.body) {
      open.noteRead();
      const split = splitter ? splitter.add(chunk) : { bytes: chunk };
      if (splitter) silence.refresh();
      else clearTimeout(silence);
      if (!split) continue;
      progress.lastId = split.lastId ?? progress.lastId;
      if (!state.answer.isStarted()) {
        state.answer.start(answer.head.status, answer.head.headers);
        progress.firstByteMs = getAgeMs(state);
      }
      await state.answer.write(split.bytes);
    }
    const rest = splitter?.takeRest();
    if (rest && rest.length > 0) await state.answer.write(rest);
    if (!state.answer.isStarted()) {
      state.answer.start(answer.head.status, answer.head.headers);
    }
  } finally {
    clearTimeout(silence);
  }
}

/** Passes an engine's own failure on, unless the call may go on elsewhere. */
async function relayFailure(
  state: CallState,
  run: Run,
): Promise<ForwardEnd | Error> {
  const { answer, open, placement } = run;
  try {
    const body = await readBody(answer);
    open.close(CallEnd.Failed);
    const { status, genuine, headers } = answer.head;
    if (mayRunAgain(state) || state.answer.isStarted() || !genuine) {
      state.excluded.add(placement.engine.name);
      return new Error(`engine answered with status ${status}`);
    }
    state.answer.start(status, headers, { length: body.length });
    await state.answer.write(body);
    state.answer.end();
    return {
      outcome: Outcome.Done,
      status,
      endpoint: placement.engine.name,
      runs: state.runs,
    };
  } catch (error) {
    open.close(noteFailure(state, placement.engine, { error, step: "stream" }));
    return error instanceof Error ? error : new Error(String(error));
  }
}
