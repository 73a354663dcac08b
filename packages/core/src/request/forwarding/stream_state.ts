/** The state of one stream, and its placement. */
import type {
  ExportedPrompt,
  GenerationWork,
  ListedEndpoint,
} from "../../types/index.ts";
import { type CallState, getAgeMs, getLeftMs } from "./attempt.ts";
import { forwardEvents } from "./events.ts";
import {
  placeGeneration,
  type Placement,
  type PlacementOptions,
} from "./place_generation.ts";

/** A computed prompt that waits for an engine that generates. */
export interface HeldExport {
  readonly prompt: ExportedPrompt;
  readonly engine: ListedEndpoint;
  /** When its engine drops it, on the clock of `performance.now()`. */
  readonly endsMs: number;
}

/** One stream on its way. */
export interface StreamState extends CallState {
  /** Last event that the caller has. */
  lastId: string | undefined;
  firstByteMs: number | undefined;
  exportedMs: number | undefined;
  headMs: number | undefined;
  /** Whether the prompt was sent to be computed before, so that the next time is a repeat. */
  exportTried: boolean;
  held: HeldExport | undefined;
  /** Whether the goal was out of reach at the last placement. */
  late: boolean;
}

/** Ranks by which late calls go behind those in time. */
const lateRanks = 4;
const noWork: GenerationWork = {
  model: "",
  promptTokens: 1,
  outputTokens: 1,
  parts: [],
};

/** Extends the state of a call. */
export function createStreamState(state: CallState): StreamState {
  return {
    ...state,
    lastId: state.call.resumeAfter,
    firstByteMs: undefined,
    exportedMs: undefined,
    headMs: undefined,
    exportTried: false,
    held: undefined,
    late: false,
  };
}

/** The work of the call; calls without a description count as small. */
export function getWork(state: CallState): GenerationWork {
  return state.call.work ?? noWork;
}

/** Rank at engines: calls that are late already go behind the others. */
export function getRank(state: StreamState): number {
  return state.route.rank + (state.late ? lateRanks : 0);
}

/** What placements of the call go by. */
export function getPlacementOptions(state: CallState): PlacementOptions {
  const { parts, service } = state;
  return {
    service,
    engines: parts.endpoints.listTaking(service)
      .filter(({ name }) => !parts.isChanging(name)),
    exclude: state.excluded,
    board: parts.board,
    speeds: parts.speeds,
    ownDomain: parts.ownDomain,
    isConnected: (engine) => parts.sender.isConnected(engine),
  };
}

/** Places the prompt of a stream. */
export function placePrompt(state: StreamState): Placement | undefined {
  const work = getWork(state);
  const placement = placeGeneration(work, {
    ...getPlacementOptions(state),
    goalLeftMs: state.route.goalMs - getAgeMs(state),
  });
  state.late = placement?.late ?? state.late;
  state.parts.logEvent(forwardEvents.placed, {
    call: state.call.id,
    endpoint: placement?.engine.name,
    exports: placement?.exports,
    copyFrom: placement?.copyFrom?.name,
    late: placement?.late,
    readMs: placement && Math.round(placement.readMs),
    tokens: placement?.tokens,
    promptTokens: work.promptTokens,
    part: work.parts.at(-2)?.id,
    leftMs: Math.round(getLeftMs(state)),
  });
  return placement;
}
