/** Choice of an engine, or of a prefill and a decode engine, for one request. */
import { type Either, Left, Right } from "purify-ts";
import {
  type EndpointName,
  EngineRole,
  type FailureDomain,
  kvBlockTokens,
  Outcome,
  type Refusal,
  RefusalReason,
} from "../../types/index.ts";
import {
  countCachedTokens,
  estimateBacklogTokens,
  estimateInterferenceMs,
  estimateMemoryWaitMs,
  estimatePrefillMs,
  estimateTokenMs,
  type RouteRequest,
} from "./estimate.ts";
import { sortByRendezvous } from "./hashing.ts";
import type { EndpointTable, EngineView } from "./table.ts";

/** Engines chosen for a request, with the expected latency. */
export interface Route {
  /** Engine that generates the output. */
  readonly engine: EndpointName;
  /** Engine that computes the prompt and exports its KV cache; absent if `engine` does both. */
  readonly prefillEngine?: EndpointName;
  /** Expected time to first token. */
  readonly expectedFirstTokenMs: number;
  /** Expected time between tokens. */
  readonly expectedTokenMs: number;
  /** Prompt tokens already in the KV cache of the engine that computes the prompt. */
  readonly cachedTokens: number;
}

/** Options of one routing decision. */
export interface RouteOptions {
  /** Returns uniform random numbers in [0, 1). */
  readonly random: () => number;
  /** Engines that serve the request's model; all engines if absent. */
  readonly engines?: ReadonlySet<EndpointName>;
  /** Engines on which the request has already failed. */
  readonly exclude?: ReadonlySet<EndpointName>;
  /** Software version that began the stream, "" if it states none; any if absent. */
  readonly softwareVersion?: string;
  /** Failure domain of this instance. */
  readonly ownDomain: FailureDomain;
  /** One-way delay between failure domains according to the bundle, in ms. */
  readonly getDelayMs: (from: FailureDomain, to: FailureDomain) => number;
}

/** Maximum number of engines that are compared for each role. */
const sampleSize = 3;
const noEngineRetryAfterMs = 2_000;
/** Additional cost of a link per ms of its delay. */
const linkCostFactor = 2;
/** KV cache transfer speed between engines, in blocks per second. */
const transferBlocksPerSecond = 100;
/** Backlog relative to the mean up to which an engine is chosen for prefix affinity. */
const affinityLoadBound = 1.25;
/** Backlog allowed in addition to `affinityLoadBound`, in prompt tokens. */
const affinityAllowanceTokens = 2_000;
const msPerSecond = 1_000;

interface Candidate {
  readonly route: Route;
  readonly cost: number;
}

/** Chooses the cheapest route among a few sampled candidates; refuses if no engine is usable. */
export function chooseRoute(
  request: RouteRequest,
  table: EndpointTable,
  options: RouteOptions,
): Either<Refusal, Route> {
  const usable = table.listViews().filter((view) => isAllowed(view, options));
  const mixedEngines = usable.filter((view) => view.role === EngineRole.Mixed);
  const decodeEngines = usable.filter((view) =>
    view.role !== EngineRole.Prefill
  );
  const prefillEngines = usable.filter((view) =>
    view.role !== EngineRole.Decode
  );
  const candidates = [
    ...pickCandidates(mixedEngines, request, options)
      .map((view) => buildSingleCandidate(view, request, options)),
    ...buildSplitCandidates(
      { prefillEngines, decodeEngines },
      request,
      options,
    ),
  ];
  const best = pickCheapest(candidates);
  return best ? Right(best.route) : Left(buildNoEngineRefusal());
}

function isAllowed(view: EngineView, options: RouteOptions): boolean {
  if (!view.usable) return false;
  if (options.exclude?.has(view.engine)) return false;
  if (!mayContinueAt(view, options)) return false;
  return options.engines?.has(view.engine) ?? true;
}

/** Whether what the engine writes fits to the tokens that the caller has. */
function mayContinueAt(
  view: EngineView,
  { softwareVersion }: RouteOptions,
): boolean {
  return softwareVersion === undefined ||
    getSoftwareVersion(view) === softwareVersion;
}

/** Version of the engine's software; "" if it states none. */
export function getSoftwareVersion(view: EngineView | undefined): string {
  return view?.report?.softwareVersion ?? "";
}

/** Samples engines at random, plus the one preferred for the request's prefix. */
function pickCandidates(
  views: readonly EngineView[],
  request: RouteRequest,
  options: RouteOptions,
): readonly EngineView[] {
  if (views.length <= sampleSize) return views;
  const picked = new Set<EngineView>();
  const affineEngine = pickAffineEngine(views, request);
  if (affineEngine) picked.add(affineEngine);
  while (picked.size < sampleSize) {
    const view = views[Math.floor(options.random() * views.length)];
    if (view) picked.add(view);
  }
  return [...picked];
}

/** First engine in the prefix's rendezvous order whose backlog is within the bound. */
function pickAffineEngine(
  views: readonly EngineView[],
  request: RouteRequest,
): EngineView | undefined {
  const prefix = request.prefixes[0];
  if (prefix === undefined) return undefined;
  const backlogs = new Map(
    views.map((view) => [view.engine, estimateBacklogTokens(view)]),
  );
  const total = [...backlogs.values()].reduce((sum, each) => sum + each, 0);
  const bound = affinityLoadBound * total / views.length +
    affinityAllowanceTokens;
  const order = sortByRendezvous(prefix, views.map((view) => view.engine));
  const chosen = order.find((engine) => (backlogs.get(engine) ?? 0) <= bound);
  return views.find((view) => view.engine === chosen);
}

function buildSingleCandidate(
  view: EngineView,
  request: RouteRequest,
  options: RouteOptions,
): Candidate {
  const linkMs = estimateLinkMs(options.ownDomain, view, options);
  const firstTokenMs = linkMs + estimatePrefillMs(view, request) +
    estimateMemoryWaitMs(view, request);
  const tokenMs = estimateTokenMs(view);
  return {
    route: {
      engine: view.engine,
      expectedFirstTokenMs: firstTokenMs,
      expectedTokenMs: tokenMs,
      cachedTokens: countCachedTokens(view, request),
    },
    cost: firstTokenMs + linkMs * linkCostFactor +
      tokenMs * request.expectedTokens + estimateInterferenceMs(view, request),
  };
}

/** Builds candidates of sampled pairs: one engine for the prefill, one for the decode. */
function buildSplitCandidates(
  views: {
    readonly prefillEngines: readonly EngineView[];
    readonly decodeEngines: readonly EngineView[];
  },
  request: RouteRequest,
  options: RouteOptions,
): readonly Candidate[] {
  const prefillEngines = pickCandidates(views.prefillEngines, request, options);
  const decodeEngines = pickCandidates(views.decodeEngines, request, options);
  return prefillEngines.flatMap((prefill) =>
    decodeEngines.filter((decode) => isSplitPair(prefill, decode))
      .map((decode) =>
        buildSplitCandidate({ prefill, decode }, request, options)
      )
  );
}

/** Excludes pairs of two mixed engines, which gain nothing from splitting a request, and of two software versions. */
function isSplitPair(prefill: EngineView, decode: EngineView): boolean {
  if (getSoftwareVersion(prefill) !== getSoftwareVersion(decode)) return false;
  return prefill.role === EngineRole.Prefill ||
    decode.role === EngineRole.Decode;
}

function buildSplitCandidate(
  pair: { readonly prefill: EngineView; readonly decode: EngineView },
  request: RouteRequest,
  options: RouteOptions,
): Candidate {
  const { prefill, decode } = pair;
  const blocks = Math.ceil(request.promptTokens / kvBlockTokens);
  const transferMs = blocks * msPerSecond / transferBlocksPerSecond +
    options.getDelayMs(prefill.failureDomain, decode.failureDomain);
  const linkMs = estimateLinkMs(options.ownDomain, decode, options);
  const firstTokenMs = linkMs +
    estimateLinkMs(options.ownDomain, prefill, options) + transferMs +
    estimatePrefillMs(prefill, request) +
    estimateMemoryWaitMs(decode, request);
  const interferenceMs = prefill.role === EngineRole.Mixed
    ? estimateInterferenceMs(prefill, request)
    : 0;
  const tokenMs = estimateTokenMs(decode);
  return {
    route: {
      engine: decode.engine,
      prefillEngine: prefill.engine,
      expectedFirstTokenMs: firstTokenMs,
      expectedTokenMs: tokenMs,
      cachedTokens: countCachedTokens(prefill, request),
    },
    cost: firstTokenMs + linkMs * linkCostFactor +
      tokenMs * request.expectedTokens + interferenceMs,
  };
}

/** Round-trip time to the engine by the bundle's delays, in ms; 0 within one failure domain. */
function estimateLinkMs(
  from: FailureDomain,
  view: EngineView,
  options: RouteOptions,
): number {
  if (from === view.failureDomain) return 0;
  return 2 * options.getDelayMs(from, view.failureDomain);
}

function pickCheapest(
  candidates: readonly Candidate[],
): Candidate | undefined {
  let best: Candidate | undefined;
  for (const candidate of candidates) {
    if (!best || candidate.cost < best.cost) best = candidate;
  }
  return best;
}

function buildNoEngineRefusal(): Refusal {
  return {
    reason: RefusalReason.NoEndpoint,
    outcome: Outcome.NotRun,
    message: "No engine of the model takes work",
    retryAfterMs: noEngineRetryAfterMs,
  };
}
