/** State of one forwarded stream, and the placement of its prompt. */
import {
  EngineRole,
  type ExportedPrompt,
  type GenerationWork,
  type ListedEndpoint,
} from "../../types/index.ts";
import {
  type CallState,
  formatListAge,
  getAgeMs,
  getLeftMs,
  listSharedParts,
  mayContinueAt,
  takeRoom,
} from "./attempt.ts";
import type { OpenBacklog } from "../../process/fleet/index.ts";
import { lateAheadShare } from "./estimate_reads.ts";
import { forwardEvents } from "./events.ts";
import {
  pickGenerator,
  placeGeneration,
  type Placement,
  type PlacementOptions,
} from "./place_generation.ts";

/** An exported prompt that no generating engine has consumed yet. */
export interface HeldExport {
  readonly prompt: ExportedPrompt;
  readonly engine: ListedEndpoint;
  /** Time from which it is not used any more, in ms of `performance.now()`; earlier than the engine drops it. */
  readonly expiryMs: number;
}

/** State of one stream while it is forwarded. */
export interface StreamState extends CallState {
  /** Id of the last event relayed to the caller, or with which the caller resumes. */
  lastId: string | undefined;
  /** Version of the weights of the last event relayed; undefined before the first, and where engines state none. */
  weightsVersion: number | undefined;
  firstByteMs: number | undefined;
  exportedMs: number | undefined;
  headMs: number | undefined;
  /** Whether an export was attempted before, so that the next one uses the retry budget. */
  exportTried: boolean;
  held: HeldExport | undefined;
  /** Whether it is recorded where the stream began. */
  originRecorded: boolean;
  /** Whether the prompt tokens that are missing are counted as demand, which a repeat does not raise. */
  demandRecorded: boolean;
  /** Whether the last placement could not meet the goal. */
  late: boolean;
}

/** Added to the rank of late calls, so that calls in time have priority. */
const lateRankOffset = 4;
const defaultWork: GenerationWork = {
  model: "",
  promptTokens: 1,
  outputTokens: 1,
  parts: [],
};

/** Extends the state of a call; the stream starts after the event that the caller resumes from, if any. */
export function createStreamState(state: CallState): StreamState {
  return {
    ...state,
    lastId: state.call.resumeAfter,
    weightsVersion: undefined,
    firstByteMs: undefined,
    exportedMs: undefined,
    headMs: undefined,
    exportTried: false,
    held: undefined,
    originRecorded: false,
    demandRecorded: false,
    late: false,
  };
}

/** The described work of the call; a call without a description counts as one prompt token. */
export function getWork(state: CallState): GenerationWork {
  return state.call.work ?? defaultWork;
}

/** Priority rank sent to engines; late calls get a higher number and queue behind the others. */
export function getRank(state: StreamState): number {
  return state.rank + (state.late ? lateRankOffset : 0);
}

/** Whether an engine is not listed with other weights than those of the stream's last event. */
function mayHaveWeights(
  state: StreamState,
  { weightsVersions }: ListedEndpoint,
): boolean {
  const listed = weightsVersions?.[getWork(state).model];
  return listed === undefined ||
    listed === (state.weightsVersion ?? listed);
}

/** Input of the call's placements; engines whose role is changing, or whose versions did not begin the stream, are left out. */
export function getPlacementOptions(state: StreamState): PlacementOptions {
  const { parts, service } = state;
  return {
    service,
    engines: parts.endpoints.listAccepting(service).filter((engine) =>
      !parts.isChangingRole(engine.name) && mayContinueAt(state, engine) &&
      mayHaveWeights(state, engine)
    ),
    exclude: new Set([...state.excluded, ...state.heldBack]),
    endpointTracker: parts.endpointTracker,
    prompts: parts.capacities.prompts,
    backlogs: parts.getBacklogs?.(),
    ownDomain: parts.ownDomain,
    isConnected: (engine) => parts.sender.isConnected(engine),
  };
}

/** Counts a prompt that its engine is about to get, also for the instances that choose among the same engines; undefined where nobody counts. */
export function openBacklog(
  { parts }: StreamState,
  { engine, computeMs, late }: Placement,
): OpenBacklog | undefined {
  const ms = computeMs * (late ? lateAheadShare : 1);
  const prompt = { ms, yields: late };
  const open = parts.getBacklogs?.()?.open(engine.name, prompt);
  if (open) parts.onPlaced?.(engine.name, ms);
  return open;
}

/** Chooses the engine of the prefill, logs the choice and updates `state.late`; undefined if no engine generates. */
export function placePrompt(state: StreamState): Placement | undefined {
  return recordPlacement(state, placeWithinLimits(state));
}

/** The same among engines with free slots, for a prefill at one that has no prompt ahead; undefined if there is none. */
export function placeAtFree(state: StreamState): Placement | undefined {
  const engines = getPlacementOptions(state).engines.filter((engine) =>
    hasFreeSlot(state, engine)
  );
  const idle = new Set(
    engines.filter((engine) => isIdle(state, engine)).map(({ name }) => name),
  );
  if (idle.size === 0) return undefined;
  const among = new Set(
    engines.filter(({ name, role }) =>
      idle.has(name) || role !== EngineRole.Prefill
    ).map(({ name }) => name),
  );
  while (true) {
    const placement = placeWithinLimits(state, among);
    if (!placement) return undefined;
    if (idle.has(placement.engine.name)) {
      return recordPlacement(state, placement);
    }
    among.delete(placement.engine.name);
  }
}

function hasFreeSlot(
  { parts: { endpointTracker } }: StreamState,
  { name, slots }: ListedEndpoint,
): boolean {
  return !endpointTracker.isSuspended(name) &&
    endpointTracker.getLoad(name).calls < slots;
}

/** Whether no prompt is known to be ahead at the engine. */
function isIdle(
  { parts: { endpointTracker, getBacklogs } }: StreamState,
  { name }: ListedEndpoint,
): boolean {
  const { readTokens, lateTokens } = endpointTracker.getLoad(name);
  const backlogMs = getBacklogs?.()?.getMs(name) ?? 0;
  return readTokens + lateTokens <= 0 && backlogMs <= 0;
}

function recordPlacement(
  state: StreamState,
  placement: Placement | undefined,
): Placement | undefined {
  const work = getWork(state);
  state.late = placement?.late ?? state.late;
  if (placement && !state.demandRecorded) {
    state.demandRecorded = true;
    state.parts.activity?.recordMissing(state.service, placement.tokens);
  }
  state.parts.logEvent(forwardEvents.placed, {
    call: state.call.id,
    endpoint: placement?.engine.name,
    softwareVersion: placement?.engine.softwareVersion,
    exports: placement?.exports,
    copyFrom: placement?.copyFrom?.name,
    late: placement?.late,
    readMs: placement && Math.round(placement.readMs),
    tokens: placement?.tokens,
    promptTokens: work.promptTokens,
    parts: listSharedParts(state.call).join(" "),
    leftMs: Math.round(getLeftMs(state)),
    listAgeMs: formatListAge(state.parts),
  });
  return placement;
}

/** Places the prompt at an engine, of `among` if given, where the limits of the chosen engines leave room; counts the generation after an export at once. */
function placeWithinLimits(
  state: StreamState,
  among?: ReadonlySet<string>,
): Placement | undefined {
  const { limits } = state.parts;
  state.heldBack.clear();
  while (true) {
    const options = getPlacementOptions(state);
    const placement = placeGeneration(getWork(state), {
      ...options,
      engines: options.engines.filter(({ name }) => among?.has(name) ?? true),
      goalLeftMs: state.route.goalMs - getAgeMs(state),
    });
    if (!placement) return undefined;
    if (!takeRoom(state, placement.engine)) continue;
    if (!placement.exports) return placement;
    const generator = pickGenerator(
      placement.engine,
      getPlacementOptions(state),
    );
    if (!generator || !takeRoom(state, generator)) continue;
    if (limits.isLimited(generator.name) && state.reserved === undefined) {
      limits.recordSend(generator);
      state.reserved = generator.name;
    }
    return placement;
  }
}

/** Chooses the engine that generates from an exported prompt, within its limit; undefined if there is none. */
export function chooseGenerator(
  state: StreamState,
  exporter: ListedEndpoint,
): ListedEndpoint | undefined {
  state.heldBack.clear();
  while (true) {
    const generator = pickGenerator(exporter, getPlacementOptions(state));
    if (!generator || takeRoom(state, generator)) return generator;
  }
}
