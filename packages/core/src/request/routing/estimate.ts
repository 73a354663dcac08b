/** Estimates of the latency that a request would have on an engine. */
import { kvBlockTokens } from "../../types/index.ts";
import type { EngineView } from "./table.ts";

/** Properties of a request that its route depends on. */
export interface RouteRequest {
  readonly promptTokens: number;
  readonly expectedTokens: number;
  /** Digests of the prompt's prefixes, shortest first. */
  readonly prefixes: readonly string[];
}

/** Fraction of the batch limit up to which a prefill does not delay other requests. */
const interferenceThreshold = 0.7;
/** Fraction of the prefill time by which each running request is delayed at the batch limit. */
const interferenceShare = 0.1;
/** Time between tokens on an engine that runs no other request. */
const idleTokenMs = 20;
const msPerSecond = 1_000;

/** Counts the prompt tokens that the engine probably has in its KV cache; always less than the whole prompt. */
export function countCachedTokens(
  view: EngineView,
  request: RouteRequest,
): number {
  for (let count = request.prefixes.length; count > 0; count--) {
    const digest = request.prefixes[count - 1];
    if (digest !== undefined && view.hasPrefix(digest)) {
      return Math.min(count * kvBlockTokens, request.promptTokens - 1);
    }
  }
  return 0;
}

/**
 * Prompt tokens ahead of a new request: the reported backlog plus the estimated
 * tokens of other instances, less what the engine has computed since the report,
 * plus this instance's own unreported tokens.
 */
export function estimateBacklogTokens(view: EngineView): number {
  const reported = view.report?.queuedPromptTokens ?? 0;
  const lagMs = Number.isFinite(view.reportAgeMs) ? view.reportAgeMs : 0;
  const computed = view.prefillSpeed * lagMs / msPerSecond;
  const unknown = reported + view.othersUnreportedTokens - computed;
  return view.ownUnreportedTokens + Math.max(unknown, 0);
}

/** Time to compute the prompts ahead and the uncached part of the request's own, in ms. */
export function estimatePrefillMs(
  view: EngineView,
  request: RouteRequest,
): number {
  const uncached = request.promptTokens - countCachedTokens(view, request);
  const tokens = estimateBacklogTokens(view) + uncached;
  return tokens * msPerSecond / (view.prefillSpeed * view.slowStartFactor);
}

/** Time until the engine has enough free KV blocks for the request, in ms; 0 without a report. */
export function estimateMemoryWaitMs(
  view: EngineView,
  request: RouteRequest,
): number {
  const report = view.report;
  if (!report) return 0;
  const needed = Math.ceil(
    (request.promptTokens + request.expectedTokens) / kvBlockTokens,
  );
  const used = report.kvBlocksUsed + view.ownUnreportedBlocks;
  const missing = used + needed - report.kvBlocksTotal;
  if (missing <= 0) return report.queued > 0 ? estimateQueueMs(view) : 0;
  const blocksPerRequest = Math.max(
    report.kvBlocksUsed / Math.max(report.running, 1),
    1,
  );
  return estimateQueueMs(view) + missing / blocksPerRequest *
      estimateRequestMs(view, request) / Math.max(report.running, 1);
}

/** Time to generate the expected output at the engine's current speed, in ms. */
export function estimateRequestMs(
  view: EngineView,
  request: RouteRequest,
): number {
  return request.expectedTokens * estimateTokenMs(view);
}

/**
 * Total decode delay that the request's prefill causes for the requests running
 * on the engine, in ms. It is 0 on an engine well below its batch limit and
 * rises as the batch fills up.
 */
export function estimateInterferenceMs(
  view: EngineView,
  request: RouteRequest,
): number {
  const running = view.report?.running ?? 0;
  const batchUtilization = running / view.batchLimit;
  const pressure = Math.min(
    Math.max(
      (batchUtilization - interferenceThreshold) / (1 - interferenceThreshold),
      0,
    ),
    1,
  );
  const tokens = request.promptTokens - countCachedTokens(view, request);
  const prefillMs = tokens * msPerSecond / view.prefillSpeed;
  return pressure * running * prefillMs * interferenceShare;
}

/** Expected time between two tokens of one request, in ms. */
export function estimateTokenMs(view: EngineView): number {
  const running = view.report?.running ?? 0;
  if (running === 0) return idleTokenMs;
  return Math.max(running * msPerSecond / view.decodeSpeed, idleTokenMs);
}

/** Time to serve the requests queued for KV blocks, in ms. */
function estimateQueueMs(view: EngineView): number {
  const report = view.report;
  if (!report || report.queued === 0) return 0;
  const averageTokens = 200;
  return report.queued * averageTokens * msPerSecond / view.decodeSpeed;
}
