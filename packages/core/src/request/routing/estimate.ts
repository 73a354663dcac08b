/** Estimates of when an engine would send a request's first token. */
import { kvBlockTokens } from "../../types/index.ts";
import type { EngineView } from "./table.ts";

/** What routing needs to know of a request. */
export interface RouteRequest {
  readonly promptTokens: number;
  readonly expectedTokens: number;
  /** Digests of the prompt's prefixes, shortest first. */
  readonly prefixes: readonly string[];
}

/** Part of the batch limit up to which prompts cost the others nothing. */
const freeFullness = 0.7;
/** Part of a prompt's time by which each other answer is delayed. */
const interferenceShare = 0.1;
/** Time between tokens of an engine with nothing else to do. */
const idleTokenMs = 20;
const msPerSecond = 1_000;

/** Prompt tokens whose KV cache the engine probably holds. */
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
 * Prompt tokens ahead of a new request: what was reported and has not been
 * computed since, own work since the report, and a share for other instances.
 */
export function estimateBacklogTokens(view: EngineView): number {
  const reported = view.report?.queuedPromptTokens ?? 0;
  const lagMs = Number.isFinite(view.reportAgeMs) ? view.reportAgeMs : 0;
  const computed = view.prefillSpeed * lagMs / msPerSecond;
  const unknown = reported + view.othersUnreportedTokens - computed;
  return view.ownUnreportedTokens + Math.max(unknown, 0);
}

/** Time that an engine needs for the prompts ahead and the request's own, in ms. */
export function estimatePrefillMs(
  view: EngineView,
  request: RouteRequest,
): number {
  const own = request.promptTokens - countCachedTokens(view, request);
  const tokens = estimateBacklogTokens(view) + own;
  return tokens * msPerSecond / (view.prefillSpeed * view.startShare);
}

/** Time until the engine has KV memory for the request, in ms. */
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

/** Mean time to generate the whole answer at the engine's speed, in ms. */
export function estimateRequestMs(
  view: EngineView,
  request: RouteRequest,
): number {
  return request.expectedTokens * estimateTokenMs(view);
}

/**
 * Generating time that computing the prompt costs the engine's other requests,
 * in ms. It counts only as far as the engine has no room to generate more.
 */
export function estimateInterferenceMs(
  view: EngineView,
  request: RouteRequest,
): number {
  const running = view.report?.running ?? 0;
  const fullness = running / view.batchLimit;
  const pressure = Math.min(
    Math.max((fullness - freeFullness) / (1 - freeFullness), 0),
    1,
  );
  const tokens = request.promptTokens - countCachedTokens(view, request);
  const prefillMs = tokens * msPerSecond / view.prefillSpeed;
  return pressure * running * prefillMs * interferenceShare;
}

/** Time between two tokens of one answer, in ms. */
export function estimateTokenMs(view: EngineView): number {
  const running = view.report?.running ?? 0;
  if (running === 0) return idleTokenMs;
  return Math.max(running * msPerSecond / view.decodeSpeed, idleTokenMs);
}

function estimateQueueMs(view: EngineView): number {
  const report = view.report;
  if (!report || report.queued === 0) return 0;
  const averageTokens = 200;
  return report.queued * averageTokens * msPerSecond / view.decodeSpeed;
}
