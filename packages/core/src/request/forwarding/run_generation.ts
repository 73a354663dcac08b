/**
 * Forwards a stream: places the prefill at the engine with the lowest
 * estimated cost, starts the generation, and relays its events as they arrive. A
 * broken stream of a resumable route resumes at another engine after its last
 * complete event.
 */
import type { ListedEndpoint } from "../../types/index.ts";
import { dropBody } from "./answer_body.ts";
import {
  allowSend,
  type CallState,
  confirmList,
  getAgeMs,
  getLeftMs,
  isUnsent,
  mayRunAgain,
  OutdatedChoiceError,
  sendCall,
  takeBackSend,
} from "./attempt.ts";
import { buildEndpointFailed, buildTimedOut } from "./ends.ts";
import { forwardEvents } from "./events.ts";
import {
  ExportEnd,
  exportPrompt,
  recordRefusal,
  releaseHeld,
} from "./export_prompt.ts";
import { classifyRefusal, recordFailure } from "./record_end.ts";
import type { Placement } from "./place_generation.ts";
import {
  isRefusedByAll,
  logAbsentVersion,
  refuseByNews,
  refuseCrashing,
  refuseWithoutEndpoint,
} from "./refuse_call.ts";
import { refuseOverloaded } from "./refuse_overload.ts";
import { type EngineRun, relayRun } from "./relay_stream.ts";
import {
  chooseGenerator,
  createStreamState,
  getRank,
  getWork,
  openBacklog,
  placePrompt,
  type StreamState,
} from "./stream_state.ts";
import type { ForwardEnd } from "./types.ts";

const unavailable = 503;
/** Least retry-after if all engines are full, in ms. */
const fullRetryMs = 400;

/** The engine of the next run. */
interface RunStart {
  readonly engine: ListedEndpoint;
  /** Present if `engine` computes the prompt itself. */
  readonly placement?: Placement;
}

/** Runs the stream to its end, with retries; an exported prompt left unused is released. */
export async function runGeneration(call: CallState): Promise<ForwardEnd> {
  const state = createStreamState(call);
  try {
    return await runAttempts(state);
  } finally {
    releaseHeld(state);
  }
}

async function runAttempts(state: StreamState): Promise<ForwardEnd> {
  let lost: ForwardEnd | undefined;
  while (!state.signal.aborted) {
    if (isRefusedByAll(state)) break;
    const refusal = refuseCrashing(state) ?? await refuseByNews(state);
    if (refusal) return refusal;
    const start = await prepareRun(state);
    if (start === "again") continue;
    if (start === undefined) break;
    if ("status" in start) return lost ?? start;
    if (!allowSend(state)) break;
    const run = await startRun(state, start);
    if (run === undefined) continue;
    state.runs += 1;
    const end = run instanceof Error ? run : await relayRun(state, run);
    if (!(end instanceof Error)) return end;
    lost = buildEndpointFailed(end.message, {
      runs: state.runs,
      endpoint: start.engine.name,
    });
    if (!mayRunAgain(state)) break;
  }
  if (state.signal.aborted) return buildTimedOut({ runs: state.runs });
  if (lost) logAbsentVersion(state);
  return lost ?? refuseWithoutEndpoint(state, fullRetryMs);
}

/** Exports the prompt if the placement requires it, and chooses the engine that generates; "again" asks for another attempt. */
async function prepareRun(
  state: StreamState,
): Promise<RunStart | ForwardEnd | "again" | undefined> {
  if (state.held && state.held.expiryMs < performance.now()) releaseHeld(state);
  if (!state.held) {
    const cheapest = placePrompt(state);
    if (!cheapest) return undefined;
    const placement = refuseOverloaded(state, cheapest);
    if ("status" in placement) return placement;
    if (!placement.exports) return { engine: placement.engine, placement };
    const { budget } = state.parts;
    const repeats = state.exportTried;
    if (repeats && !budget.consumeRepeat(state.service)) return undefined;
    state.exportTried = true;
    const end = await exportPrompt(state, placement);
    if (end === ExportEnd.Unsent) {
      state.exportTried = repeats;
      if (repeats) budget.returnRepeat(state.service);
    }
    if (end !== ExportEnd.Exported) return "again";
    await confirmList(state);
  }
  if (!state.held) return "again";
  const engine = chooseGenerator(state, state.held.engine);
  if (engine) return { engine };
  // Engines of another version cannot read the prompt, but may compute it.
  releaseHeld(state);
  return "again";
}

/** Logs a run that goes on with a stream, with the versions of the engines that began and go on. */
function logStart(state: StreamState, engine: ListedEndpoint): void {
  if (state.lastId === undefined) return;
  state.parts.logEvent(forwardEvents.resumed, {
    call: state.call.id,
    resumes: state.call.resumes,
    after: state.lastId,
    runs: state.runs,
    endpoint: engine.name,
    softwareVersion: engine.softwareVersion,
    began: state.origin?.version,
  });
}

/**
 * Starts the generation; undefined if the engine certainly did not run the
 * call. An exported prompt remains available for the next engine unless this
 * engine may have consumed it.
 */
async function startRun(
  state: StreamState,
  { engine, placement }: RunStart,
): Promise<EngineRun | Error | undefined> {
  const { parts, held } = state;
  const open = parts.endpointTracker.openCall(engine.name, {
    tokens: placement?.tokens ?? 0,
    parts: getWork(state).parts,
    late: state.late,
  });
  const backlog = placement && openBacklog(state, placement);
  const abort = new AbortController();
  logStart(state, engine);
  try {
    const answer = await sendCall(state, {
      endpoint: engine,
      getLeftMs: () => getLeftMs(state),
      rank: getRank(state),
      exported: held?.prompt,
      copyFrom: placement?.copyFrom,
      resumeAfter: state.lastId,
      weightsVersion: state.weightsVersion,
    }, { signal: AbortSignal.any([state.signal, abort.signal]) });
    const { status, notRun } = answer.head;
    state.headMs = getAgeMs(state);
    if (!notRun) {
      state.held = undefined;
      return { answer, engine, open, backlog, abort };
    }
    await dropBody(answer);
    const end = classifyRefusal(status, state.weightsVersion !== undefined);
    open.close(end);
    backlog?.cancel();
    recordRefusal(state, { endpoint: engine.name, status, step: "generate" });
    // A refusal for lack of capacity can also mean that the KV cache could not be fetched.
    if (status === unavailable) releaseHeld(state);
    return undefined;
  } catch (error) {
    open.close(recordFailure(state, engine, { error, step: "generate" }));
    backlog?.cancel();
    if (error instanceof OutdatedChoiceError) takeBackSend(state);
    if (isUnsent(error)) return undefined;
    state.held = undefined;
    return error instanceof Error ? error : new Error(String(error));
  }
}
