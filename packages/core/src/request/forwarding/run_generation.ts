/**
 * Forwards a stream: has the prompt computed where that is soonest, lets an
 * engine generate, and passes events on as they arrive. A broken stream of a
 * route that resumes goes on at another engine after its last whole event.
 */
import { type ListedEndpoint, RefusalReason } from "../../types/index.ts";
import {
  allowSend,
  type CallState,
  classifyRefusal,
  getAgeMs,
  getLeftMs,
  isUnsent,
  mayRunAgain,
  noteFailure,
  readBody,
  refuseForRoom,
  sendCall,
} from "./attempt.ts";
import { buildLost, buildTimedOut, refuseUnrun } from "./ends.ts";
import { forwardEvents } from "./events.ts";
import { exportPrompt, noteRefusal, releaseHeld } from "./export_prompt.ts";
import { pickGenerator, type Placement } from "./place_generation.ts";
import { relayRun, type Run } from "./relay_stream.ts";
import {
  createStreamState,
  getPlacementOptions,
  getRank,
  getWork,
  placePrompt,
  type StreamState,
} from "./stream_state.ts";
import type { ForwardEnd } from "./types.ts";

const unavailable = 503;
const fullRetryMs = 400;
/** Callers give up on a stream without events after two seconds, or four times the goal. */
const patienceMs = 2_000;
const patienceGoals = 4;
/** Share of that patience which an expected first event may fill. */
const usablePatience = 0.95;
/** Share of it which waiting for others may fill, so that large prompts are not refused for their size. */
const waitingPatience = 0.5;

/** Where the next run begins. */
interface Start {
  readonly engine: ListedEndpoint;
  /** Present where `engine` computes the prompt itself. */
  readonly placement?: Placement;
}

/** Runs the stream to its end. */
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
    lost = buildLost(end.message, {
      runs: state.runs,
      endpoint: start.engine.name,
    });
    if (!mayRunAgain(state)) break;
    state.parts.logEvent(forwardEvents.resumed, {
      call: state.call.id,
      after: state.lastId,
      runs: state.runs,
    });
  }
  if (state.signal.aborted) return buildTimedOut({ runs: state.runs });
  return lost ?? refuseForRoom(state, fullRetryMs);
}

/** Has the prompt computed where it is to be exported, and chooses the engine that generates. */
async function prepareRun(
  state: StreamState,
): Promise<Start | ForwardEnd | "again" | undefined> {
  if (state.held && state.held.endsMs < performance.now()) releaseHeld(state);
  if (!state.held) {
    const placement = placePrompt(state);
    if (!placement) return undefined;
    const refusal = refuseHopeless(state, placement);
    if (refusal) return refusal;
    if (!placement.exports) return { engine: placement.engine, placement };
    const { budget } = state.parts;
    if (state.exportTried && !budget.allowRepeat(state.service)) {
      return undefined;
    }
    state.exportTried = true;
    if (!await exportPrompt(state, placement)) return "again";
  }
  if (!state.held) return "again";
  const engine = pickGenerator(state.held.engine, getPlacementOptions(state));
  return engine && { engine };
}

/** Refuses a call whose caller would have given up before its first event. */
function refuseHopeless(
  state: StreamState,
  placement: Placement,
): ForwardEnd | undefined {
  const patience = Math.max(patienceMs, state.route.goalMs * patienceGoals);
  const allowedMs = Math.min(patience, state.route.timeoutMs);
  const waitMs = getAgeMs(state) + placement.aheadMs;
  const beginMs = getAgeMs(state) + placement.readMs;
  const excessMs = Math.max(
    waitMs - allowedMs * waitingPatience,
    beginMs - allowedMs * usablePatience,
  );
  if (excessMs <= 0 || state.runs > 0) return undefined;
  return refuseUnrun(
    RefusalReason.Overloaded,
    "engines are too busy to begin in time",
    { retryAfterMs: Math.max(fullRetryMs, excessMs) },
  );
}

/**
 * Starts the generation; undefined where the engine certainly did not run the
 * call. A prompt that was exported stays for the next engine unless the engine
 * may have taken it.
 */
async function startRun(
  state: StreamState,
  { engine, placement }: Start,
): Promise<Run | Error | undefined> {
  const { parts, held } = state;
  const open = parts.board.openCall(engine.name, {
    tokens: placement?.tokens ?? 0,
    parts: getWork(state).parts,
    late: state.late,
  });
  const abort = new AbortController();
  try {
    const answer = await sendCall(state, {
      endpoint: engine,
      leftMs: getLeftMs(state),
      rank: getRank(state),
      exported: held?.prompt,
      copyFrom: placement?.copyFrom,
      resumeAfter: state.lastId,
    }, { signal: AbortSignal.any([state.signal, abort.signal]) });
    const { status, notRun } = answer.head;
    state.headMs = getAgeMs(state);
    if (!notRun) {
      state.held = undefined;
      return { answer, engine, open, abort };
    }
    await readBody(answer).catch(() => undefined);
    const end = classifyRefusal(status);
    open.close(end);
    noteRefusal(state, { endpoint: engine.name, status, step: "generate" });
    // A refusal for room may also mean that the memory could not be had.
    if (status === unavailable) releaseHeld(state);
    return undefined;
  } catch (error) {
    open.close(noteFailure(state, engine, { error, step: "generate" }));
    if (isUnsent(error)) return undefined;
    state.held = undefined;
    return error instanceof Error ? error : new Error(String(error));
  }
}
