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

/** Where a request runs. */
export interface Route {
  /** Engine that generates. */
  readonly engine: EndpointName;
  /** Engine that computes the prompt and exports its KV cache, where another. */
  readonly prefillOn?: EndpointName;
  readonly expectedFirstTokenMs: number;
  /** Expected time between tokens. */
  readonly expectedTokenMs: number;
  /** Prompt tokens that need no computing. */
  readonly cachedTokens: number;
}

/** Circumstances of one choice. */
export interface RouteOptions {
  /** Uniform in [0, 1). */
  readonly random: () => number;
  /** Engines that serve the request's model; all where absent. */
  readonly engines?: ReadonlySet<EndpointName>;
  /** Engines that already failed the request. */
  readonly exclude?: ReadonlySet<EndpointName>;
  readonly ownDomain: FailureDomain;
  /** One-way delay between failure domains by the bundle, in ms. */
  readonly getDelayMs: (from: FailureDomain, to: FailureDomain) => number;
}

const sampleSize = 3;
const noEngineRetryMs = 2_000;
/** Cost of a link beyond its delay, per ms of delay. */
const linkCostFactor = 2;
/** KV cache that engines move between each other per second, in blocks. */
const transferBlocksPerSecond = 100;
/** Largest backlog over the mean at which prefix affinity still holds. */
const affinityLoadBound = 1.25;
const affinityFreeTokens = 2_000;
const msPerSecond = 1_000;

interface Candidate {
  readonly route: Route;
  readonly cost: number;
}

/** Chooses the route with the least expected time among few candidates. */
export function chooseRoute(
  request: RouteRequest,
  table: EndpointTable,
  options: RouteOptions,
): Either<Refusal, Route> {
  const usable = table.listViews().filter((view) => isAllowed(view, options));
  const singles = usable.filter((view) => view.role === EngineRole.Mixed);
  const generating = usable.filter((view) => view.role !== EngineRole.Prefill);
  const computing = usable.filter((view) => view.role !== EngineRole.Decode);
  const candidates = [
    ...pickCandidates(singles, request, options)
      .map((view) => buildSingle(view, request, options)),
    ...buildSplits({ computing, generating }, request, options),
  ];
  const best = pickCheapest(candidates);
  return best ? Right(best.route) : Left(refuseRoute());
}

function isAllowed(view: EngineView, options: RouteOptions): boolean {
  if (!view.usable) return false;
  if (options.exclude?.has(view.engine)) return false;
  return options.engines?.has(view.engine) ?? true;
}

/** A few random engines, and the one that the prefix belongs to. */
function pickCandidates(
  views: readonly EngineView[],
  request: RouteRequest,
  options: RouteOptions,
): readonly EngineView[] {
  if (views.length <= sampleSize) return views;
  const picked = new Set<EngineView>();
  const affine = pickAffine(views, request);
  if (affine) picked.add(affine);
  while (picked.size < sampleSize) {
    const view = views[Math.floor(options.random() * views.length)];
    if (view) picked.add(view);
  }
  return [...picked];
}

/** First engine of the prefix's rendezvous order whose backlog is within the bound. */
function pickAffine(
  views: readonly EngineView[],
  request: RouteRequest,
): EngineView | undefined {
  const prefix = request.prefixes[0];
  if (prefix === undefined) return undefined;
  const backlogs = new Map(
    views.map((view) => [view.engine, estimateBacklogTokens(view)]),
  );
  const total = [...backlogs.values()].reduce((sum, each) => sum + each, 0);
  const bound = affinityLoadBound * total / views.length + affinityFreeTokens;
  const order = sortByRendezvous(prefix, views.map((view) => view.engine));
  const chosen = order.find((engine) => (backlogs.get(engine) ?? 0) <= bound);
  return views.find((view) => view.engine === chosen);
}

function buildSingle(
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

/** Pairs of sampled engines of which the first computes and the second generates. */
function buildSplits(
  views: {
    readonly computing: readonly EngineView[];
    readonly generating: readonly EngineView[];
  },
  request: RouteRequest,
  options: RouteOptions,
): readonly Candidate[] {
  const computing = pickCandidates(views.computing, request, options);
  const generating = pickCandidates(views.generating, request, options);
  return computing.flatMap((prefill) =>
    generating.filter((decode) => isSplit(prefill, decode))
      .map((decode) => buildSplit({ prefill, decode }, request, options))
  );
}

/** Two mixed engines gain nothing from sharing one request. */
function isSplit(prefill: EngineView, decode: EngineView): boolean {
  return prefill.role === EngineRole.Prefill ||
    decode.role === EngineRole.Decode;
}

function buildSplit(
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
      prefillOn: prefill.engine,
      expectedFirstTokenMs: firstTokenMs,
      expectedTokenMs: tokenMs,
      cachedTokens: countCachedTokens(prefill, request),
    },
    cost: firstTokenMs + linkMs * linkCostFactor +
      tokenMs * request.expectedTokens + interferenceMs,
  };
}

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

function refuseRoute(): Refusal {
  return {
    reason: RefusalReason.NoEndpoint,
    outcome: Outcome.NotRun,
    message: "No engine of the model takes work",
    retryAfterMs: noEngineRetryMs,
  };
}
