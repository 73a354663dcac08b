/** Prefill at an engine that exports the computed prompt to another one. */
import { Effect, RemoteError, RemoteFailure } from "../../types/index.ts";
import { CallEnd } from "../../process/fleet/index.ts";
import { startPolledTimer } from "../../shared/index.ts";
import { readBody } from "./answer_body.ts";
import {
  getAgeMs,
  getLeftMs,
  OutdatedChoiceError,
  sendCall,
} from "./attempt.ts";
import { forwardEvents } from "./events.ts";
import { classifyRefusal, recordFailure } from "./record_end.ts";
import type { Placement } from "./place_generation.ts";
import {
  getRank,
  getWork,
  openBacklog,
  type StreamState,
} from "./stream_state.ts";
import { startStopwatch } from "./stopwatch.ts";

const success = 200;
/** Longest answer to an export, in bytes: it names a handle. */
const maxExportBytes = 65_536;
/** An export times out after its expected time multiplied by this factor, plus `lateExportSlackMs`. */
const lateExportFactor = 2;
const lateExportSlackMs = 800;
/** Share of an export's time to live during which it is used. */
const usableTtlShare = 0.8;

/** How an export ended. */
export enum ExportEnd {
  /** `state.held` is set. */
  Exported = "exported",
  Failed = "failed",
  /** Nothing was sent, as the choice of the engine no longer held. */
  Unsent = "unsent",
}

/** Exports the prompt. An export does not run the call and may be retried. */
export async function exportPrompt(
  state: StreamState,
  placement: Placement,
): Promise<ExportEnd> {
  const { parts } = state;
  const { engine } = placement;
  const open = parts.endpointTracker.openCall(engine.name, {
    tokens: placement.tokens,
    parts: getWork(state).parts,
    late: placement.late,
  });
  const backlog = openBacklog(state, placement);
  const late = new AbortController();
  const timer = startPolledTimer(
    () => late.abort(),
    placement.readMs * lateExportFactor + lateExportSlackMs,
  );
  const stopwatch = startStopwatch(parts);
  let end = CallEnd.Answered;
  try {
    const answer = await sendCall(state, {
      endpoint: engine,
      getLeftMs: () => getLeftMs(state),
      rank: getRank(state),
      exportOnly: true,
      weightsVersion: state.weightsVersion,
      copyFrom: placement.copyFrom,
    }, { signal: AbortSignal.any([state.signal, late.signal]) });
    const body = await readBody(answer, { maxBytes: maxExportBytes });
    const { status, notRun } = answer.head;
    const prompt = status === success && !notRun
      ? parts.sender.decodeExport(engine, body)
      : undefined;
    if (!prompt) {
      end = classifyRefusal(status, state.weightsVersion !== undefined);
      recordRefusal(state, { endpoint: engine.name, status, step: "export" });
      return ExportEnd.Failed;
    }
    // One that is late queues behind others.
    if (!placement.late && stopwatch.isReliable()) {
      parts.capacities.prompts.record(engine.name, {
        service: state.service,
        tokens: placement.tokens,
        queueMs: placement.queueMs,
        tookMs: stopwatch.getMs(),
        copied: placement.copyFrom !== undefined,
      });
    }
    open.markPromptComputed();
    backlog?.finish();
    state.exportedMs = getAgeMs(state);
    state.held = {
      prompt,
      engine,
      expiryMs: performance.now() + state.exportTtlMs * usableTtlShare,
    };
    return ExportEnd.Exported;
  } catch (error) {
    const failure = late.signal.aborted && !state.signal.aborted
      ? new RemoteError("engine did not export in time", {
        failure: RemoteFailure.Timeout,
        effect: Effect.Unknown,
        cause: error,
      })
      : error;
    end = recordFailure(state, engine, { error: failure, step: "export" });
    return error instanceof OutdatedChoiceError
      ? ExportEnd.Unsent
      : ExportEnd.Failed;
  } finally {
    timer.cancel();
    backlog?.cancel();
    open.close(end);
  }
}

/** Logs an engine's refusal and excludes the engine from this call. */
export function recordRefusal(
  state: StreamState,
  refusal: {
    readonly endpoint: string;
    readonly status: number;
    readonly step: string;
  },
): void {
  const { endpoint } = refusal;
  state.excluded.add(endpoint);
  state.parts.logEvent(forwardEvents.sendFailed, {
    call: state.call.id,
    step: refusal.step,
    endpoint,
    leftMs: Math.round(getLeftMs(state)),
    unsent: true,
    error: `engine refused with status ${refusal.status}`,
  });
}

/** Releases the call's unused export at its engine, if there is one. */
export function releaseHeld(state: StreamState): void {
  const { held } = state;
  if (!held) return;
  state.held = undefined;
  state.parts.logEvent(forwardEvents.exportUnused, {
    call: state.call.id,
    endpoint: held.engine.name,
  });
  state.parts.sender.releaseExport(held.engine, held.prompt);
}
