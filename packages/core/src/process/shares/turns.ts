/** Admits a fraction of each workspace's calls, evenly spread, and gives the others turns to come back. */
import type { WorkspaceName } from "../../types/index.ts";

/** Part of a workspace's calls that is admitted. */
export interface AdmittedPart {
  /** From 0 to 1. */
  readonly fraction: number;
  /** Work of the call. */
  readonly work: number;
  /** Rate at which the workspace's work arrives here, in thousandths a second. */
  readonly rate: number;
}

/** Turns of the workspaces beyond their share. */
export interface Turns {
  /** Returns the time until the call's turn, in ms; undefined if it is admitted now. */
  readonly take: (
    workspace: WorkspaceName,
    part: AdmittedPart,
  ) => number | undefined;
  readonly clear: () => void;
}

/** Shortest time to come back, in ms: two computations of the shares. */
const minRetryMs = 200;
/** Longest time to come back, in ms: what is known of the demand says nothing of later. */
const maxRetryMs = 5_000;
/** Factor from units in a ms to thousandths of a unit a second. */
const rateFactor = 1_000_000;
/** Number of workspaces whose turns are kept. */
const maxWorkspaces = 1_024;

interface Turn {
  /** Part of the next admitted call that is due. */
  due: number;
  /** When the next refused call may come back, in ms of `performance.now()`. */
  nextMs: number;
}

/** Creates turns; `random` draws from 0 up to 1, so that instances do not admit at the same moment. */
export function createTurns(random: () => number): Turns {
  const turns = new Map<WorkspaceName, Turn>();

  function getTurn(workspace: WorkspaceName): Turn {
    const known = turns.get(workspace);
    if (known) return known;
    for (const oldest of turns.keys()) {
      if (turns.size < maxWorkspaces) break;
      turns.delete(oldest);
    }
    const created = { due: random(), nextMs: -Infinity };
    turns.set(workspace, created);
    return created;
  }

  return {
    take(workspace, { fraction, work, rate }): number | undefined {
      const turn = getTurn(workspace);
      turn.due += fraction;
      if (turn.due >= 1) {
        turn.due -= 1;
        return undefined;
      }
      const nowMs = performance.now();
      const gapMs = work * rateFactor / Math.max(rate * fraction, 1);
      const atMs = Math.max(nowMs + minRetryMs, turn.nextMs) +
        gapMs * random();
      if (atMs - nowMs > maxRetryMs) {
        return minRetryMs + (maxRetryMs - minRetryMs) * random();
      }
      turn.nextMs = Math.max(nowMs + minRetryMs, turn.nextMs) + gapMs;
      return atMs - nowMs;
    },
    clear: () => turns.clear(),
  };
}
