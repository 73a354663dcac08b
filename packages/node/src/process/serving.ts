/** What one instance needs to serve completions and calls, under whichever version a request pins. */
import {
  type BundleCaller,
  type BurnCallEnd,
  type BurnCounters,
  type CallAnswer,
  type CallBook,
  type CallContext,
  type CompletionCall,
  type CompletionContext,
  type CompletionEvent,
  createCompletionDependencies,
  type EndpointClients,
  type EndpointName,
  type EngineClient,
  type FailureDomain,
  isIdempotent,
  logEvent,
  Outcome,
  type Refusal,
  RefusalReason,
  runCall,
  type ServiceCall,
  type ServiceEndpoint,
  streamCompletion,
} from "@trefoildoor/core";
import { type Either, Left } from "purify-ts";
import type { VersionView } from "../version/view.ts";
import type { DemandBook } from "./demand.ts";
import type { Metrics } from "./metrics.ts";
import type { PoolHealthBook } from "./pool_health.ts";

const registrationRetryMs = 1_000;

/** What serving uses for as long as the process lives. */
export interface ServingParts {
  readonly completion: CompletionContext;
  readonly clients: EndpointClients;
  readonly book: CallBook;
  readonly demand: DemandBook;
  readonly burn: BurnCounters;
  readonly health: PoolHealthBook;
  readonly metrics: Metrics;
  /** Whether every reader of the log counts this process among the instances. */
  readonly isRegistered: () => boolean;
  readonly isTaking: (endpoint: EndpointName) => boolean;
  /** Whether the control state drains an engine at this moment. */
  readonly isDraining: (engine: EndpointName) => boolean;
  /** Service endpoints that answer no probe. */
  readonly silentServices: Set<EndpointName>;
}

/** Runs a completion under a pinned version and counts its demand. */
export async function* serveCompletion(
  call: CompletionCall,
  version: VersionView,
  options: { readonly parts: ServingParts; readonly signal: AbortSignal },
): AsyncGenerator<CompletionEvent> {
  const { parts, signal } = options;
  const completion = createCompletionDependencies(parts.completion, {
    getEngine: (engine) => openPinnedEngine(version, engine, { parts }),
    listEngines: ({ model }) => listEngines(version, model, { parts }),
    getDelayMs: (from, to) => getDelayMs(version, { from, to }),
  });
  const burn = parts.burn.startCall({
    caller: call.caller.name,
    group: call.caller.group,
    model: call.model,
    deadlineMs: call.deadlineMs,
  });
  const startMs = performance.now();
  let firstTokenMs: number | undefined;
  let outputTokens = 0;
  let end: BurnCallEnd = { outcome: Outcome.Unknown, abandoned: true };
  try {
    for await (const event of streamCompletion(call, completion, { signal })) {
      if (event.kind === "token") {
        outputTokens++;
        firstTokenMs ??= performance.now() - startMs;
        burn.noteTokens();
      }
      if (event.kind === "finish") end = { outcome: Outcome.Done };
      if (event.kind === "refused") end = describeRefusal(event.refusal);
      yield event;
    }
  } finally {
    burn.recordEnd(end);
    parts.metrics.noteRequest({
      target: call.model,
      end: end.refusal ?? end.outcome,
      durationMs: performance.now() - startMs,
      firstTokenMs,
      outputTokens,
    });
    const refused = end.refusal !== undefined;
    const demand = { promptTokens: call.promptTokens, outputTokens, refused };
    for (const pool of version.poolsByModel.get(call.model) ?? []) {
      parts.demand.note(pool.name, demand);
      parts.health.note(pool.name, end.refusal);
    }
  }
}

/** Reaches an engine by the pinned version, which a later bundle may have dropped. */
function openPinnedEngine(
  version: VersionView,
  engine: EndpointName,
  { parts }: { readonly parts: ServingParts },
): EngineClient {
  const address = version.engines.get(engine)?.engine.address ?? "";
  return parts.clients.openEngine(engine, address);
}

function describeRefusal({ outcome, reason }: Refusal): BurnCallEnd {
  return { outcome, refusal: reason };
}

/** Runs a call to a plain service under a pinned version. */
export async function serveCall(
  call: ServiceCall,
  version: VersionView,
  options: { readonly parts: ServingParts; readonly caller: BundleCaller },
): Promise<Either<Refusal, CallAnswer>> {
  const { parts, caller } = options;
  const burn = parts.burn.startCall({
    caller: caller.name,
    group: caller.group,
    model: call.service.name,
    deadlineMs: caller.deadline_ms,
  });
  const startMs = performance.now();
  const result = await runRegistered(call, version, { parts });
  const end = result.caseOf<BurnCallEnd>({
    Left: describeRefusal,
    Right: ({ outcome }) => ({ outcome }),
  });
  burn.recordEnd(end);
  parts.metrics.noteRequest({
    target: call.service.name,
    end: end.refusal ?? end.outcome,
    durationMs: performance.now() - startMs,
  });
  return result;
}

/**
 * Others settle the calls of processes that are not registered, so such a
 * process begins none that must not repeat.
 */
async function runRegistered(
  call: ServiceCall,
  version: VersionView,
  { parts }: { readonly parts: ServingParts },
): Promise<Either<Refusal, CallAnswer>> {
  if (isIdempotent(call) || parts.isRegistered()) {
    return await runCall(call, createCallContext(version, parts));
  }
  const isKeyed = call.request.key !== undefined;
  return Left({
    reason: RefusalReason.LogUnavailable,
    // An earlier request with the key may have run at another instance.
    outcome: isKeyed ? Outcome.Unknown : Outcome.NotRun,
    message: "The instance is not registered in the log",
    retryAfterMs: registrationRetryMs,
  });
}

/** Puts together what calls need under one version. */
export function createCallContext(
  version: VersionView,
  parts: ServingParts,
): CallContext {
  return {
    book: parts.book,
    rankEndpoints: (service) =>
      rankEndpoints(service.endpoints, version, { parts }),
    openClient: ({ name, address }) => parts.clients.openService(name, address),
    logEvent,
  };
}

/** Engines of a model that may take a request by the control state of this moment. */
function listEngines(
  version: VersionView,
  model: string,
  { parts }: { readonly parts: ServingParts },
): ReadonlySet<EndpointName> {
  const pools = version.poolsByModel.get(model) ?? [];
  const names = pools.flatMap((pool) => pool.engines.map(({ name }) => name));
  return new Set(names.filter((name) => !parts.isDraining(name)));
}

function rankEndpoints(
  endpoints: readonly ServiceEndpoint[],
  version: VersionView,
  { parts }: { readonly parts: ServingParts },
): readonly ServiceEndpoint[] {
  const own = parts.completion.ownDomain;
  const cost = (endpoint: ServiceEndpoint): number =>
    getDelayMs(version, { from: own, to: endpoint.failure_domain }) +
    parts.completion.random();
  return endpoints
    .filter(({ name }) => parts.isTaking(name))
    .filter(({ name }) => !parts.silentServices.has(name))
    .map((endpoint) => ({ endpoint, cost: cost(endpoint) }))
    .toSorted((left, right) => left.cost - right.cost)
    .map(({ endpoint }) => endpoint);
}

function getDelayMs(
  version: VersionView,
  link: { readonly from: FailureDomain; readonly to: FailureDomain },
): number {
  if (link.from === link.to) return 0;
  const domain = version.bundle.failure_domains.find(({ name }) =>
    name === link.from
  );
  return domain?.delay_ms[link.to] ?? 0;
}
