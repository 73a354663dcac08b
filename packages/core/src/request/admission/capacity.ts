/** What one instance may have in flight on the engines at once. */
import { EngineRole } from "../../types/index.ts";
import {
  type EndpointTable,
  type EngineView,
  estimateBacklogTokens,
} from "../routing/index.ts";

/** Work that an instance may have in flight. */
export interface AdmissionCapacity {
  /** KV blocks that its requests may reserve. */
  readonly kvBlocks: number;
  /** Prompt tokens that may wait for their first token. */
  readonly promptTokens: number;
  /** Requests that may run at once. */
  readonly requests: number;
}

/** What an instance has in flight. */
export interface AdmissionUse {
  readonly kvBlocks: number;
  readonly promptTokens: number;
  readonly requests: number;
}

/** Time's worth of prompts that may wait at the engines. */
const engineQueueMs = 1_000;
/** Requests that may queue at an engine for each that runs. */
const queuedShare = 0.1;
/** Share of what is free that one instance takes, times the count of instances. */
const freeShare = 2;
const unknownBlocks = 64;
const msPerSecond = 1_000;

/**
 * Share of one instance: at least its equal part, and more while the others
 * leave room, by the engines' reports.
 */
export function computeCapacity(
  table: EndpointTable,
  options: { readonly instances: number; readonly own: AdmissionUse },
): AdmissionCapacity {
  const usable = table.listViews().filter((view) => view.usable);
  const generating = usable.filter((view) => view.role !== EngineRole.Prefill);
  const computing = usable.filter((view) => view.role !== EngineRole.Decode);
  const blocks = sumOf(
    generating,
    (view) => view.report?.kvBlocksTotal ?? unknownBlocks,
  );
  const usedBlocks = sumOf(
    generating,
    (view) => (view.report?.kvBlocksUsed ?? 0) + view.ownUnreportedBlocks,
  );
  const tokens = sumOf(
    computing,
    (view) => view.prefillSpeed * view.startShare * engineQueueMs / msPerSecond,
  );
  const limit = sumOf(
    generating,
    (view) => view.batchLimit * (1 + queuedShare),
  );
  const present = sumOf(
    generating,
    (view) => (view.report?.running ?? 0) + (view.report?.queued ?? 0),
  );
  const backlog = sumOf(computing, estimateBacklogTokens);
  return {
    requests: computeShare(limit, present, {
      instances: options.instances,
      own: options.own.requests,
    }),
    kvBlocks: computeShare(blocks, usedBlocks, {
      instances: options.instances,
      own: options.own.kvBlocks,
    }),
    promptTokens: computeShare(tokens, backlog, {
      instances: options.instances,
      own: options.own.promptTokens,
    }),
  };
}

function computeShare(
  total: number,
  used: number,
  options: { readonly instances: number; readonly own: number },
): number {
  const instances = Math.max(options.instances, 1);
  const free = Math.max(total - used, 0);
  const fromFree = options.own + Math.min(freeShare / instances, 1) * free;
  return Math.max(total / instances, fromFree);
}

function sumOf(
  views: readonly EngineView[],
  get: (view: EngineView) => number,
): number {
  return views.reduce((sum, view) => sum + get(view), 0);
}
