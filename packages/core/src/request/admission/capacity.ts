/** Computes how much work one instance may have in flight on the engines at once. */
import { EngineRole } from "../../types/index.ts";
import {
  type EndpointTable,
  type EngineView,
  estimateBacklogTokens,
} from "../routing/index.ts";

/** Upper limits of an instance's work in flight. */
export interface AdmissionCapacity {
  /** KV cache blocks that its requests may reserve. */
  readonly kvBlocks: number;
  /** Prompt tokens of requests that have no first token yet. */
  readonly promptTokens: number;
  /** Requests that may run concurrently. */
  readonly requests: number;
}

/** An instance's current work in flight, in the units of `AdmissionCapacity`. */
export interface AdmissionUse {
  readonly kvBlocks: number;
  readonly promptTokens: number;
  readonly requests: number;
}

/** Prefill work that may be queued at an engine, as the time that it takes there. */
const maxPrefillQueueMs = 1_000;
/** Requests that may be queued at an engine per request in its batch. */
const queuedPerRunning = 0.1;
/** Multiple of the free capacity that all instances together may claim; each claims an equal part. */
const overcommitFactor = 2;
/** KV cache blocks assumed for an engine that has sent no report. */
const defaultKvBlocks = 64;
const msPerSecond = 1_000;

/**
 * Computes the limits of one instance: at least an equal part of the total
 * capacity, and more while the engines' reports show free capacity.
 */
export function computeCapacity(
  table: EndpointTable,
  options: { readonly instances: number; readonly own: AdmissionUse },
): AdmissionCapacity {
  const usable = table.listViews().filter((view) => view.usable);
  const decodeEngines = usable.filter((view) =>
    view.role !== EngineRole.Prefill
  );
  const prefillEngines = usable.filter((view) =>
    view.role !== EngineRole.Decode
  );
  const blocks = sumViews(
    decodeEngines,
    (view) => view.report?.kvBlocksTotal ?? defaultKvBlocks,
  );
  const usedBlocks = sumViews(
    decodeEngines,
    (view) => (view.report?.kvBlocksUsed ?? 0) + view.ownUnreportedBlocks,
  );
  const tokens = sumViews(
    prefillEngines,
    (view) =>
      view.prefillSpeed * view.slowStartFactor * maxPrefillQueueMs /
      msPerSecond,
  );
  const limit = sumViews(
    decodeEngines,
    (view) => view.batchLimit * (1 + queuedPerRunning),
  );
  const requestsInFlight = sumViews(
    decodeEngines,
    (view) => (view.report?.running ?? 0) + (view.report?.queued ?? 0),
  );
  const backlog = sumViews(prefillEngines, estimateBacklogTokens);
  return {
    requests: computeShare(limit, requestsInFlight, {
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
  const ownWithFreeShare = options.own +
    Math.min(overcommitFactor / instances, 1) * free;
  return Math.max(total / instances, ownWithFreeShare);
}

function sumViews(
  views: readonly EngineView[],
  get: (view: EngineView) => number,
): number {
  return views.reduce((sum, view) => sum + get(view), 0);
}
