/** Serves completions and calls under the version that each request pins. */
import { randomUUID } from "node:crypto";
import {
  type BundleCaller,
  type BurnCallEnd,
  type BurnCounters,
  type CallAnswer,
  type CallContext,
  type CallTracker,
  type CompletionCall,
  type CompletionContext,
  type CompletionDependencies,
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
  type ServiceAnswer,
  type ServiceCall,
  type ServiceClient,
  type ServiceEndpoint,
  type StopBound,
  streamCompletion,
} from "@trefoildoor/core";
import { type Either, Left } from "purify-ts";
import type { VersionView } from "../version/view.ts";
import type { DemandTracker } from "./demand.ts";
import type { Metrics } from "./metrics.ts";
import type { PoolHealthTracker } from "./pool_health.ts";
import { createWatchedCall } from "./watched_call.ts";

const registrationRetryDelayMs = 1_000;

/** State and clients for serving, created once per process. */
export interface ServingDependencies {
  readonly completion: CompletionContext;
  readonly clients: EndpointClients;
  readonly callTracker: CallTracker;
  readonly demand: DemandTracker;
  readonly burn: BurnCounters;
  readonly health: PoolHealthTracker;
  readonly metrics: Metrics;
  /** Whether the control stream lists this process as a running instance. */
  readonly isRegistered: () => boolean;
  readonly isAccepting: (endpoint: EndpointName) => boolean;
  /** Has the list of processes read again if it is too old to send calls by. */
  readonly confirmMembers: () => Promise<void>;
  /** Whether an engine is drained in the current control state. */
  readonly isDraining: (engine: EndpointName) => boolean;
  /** Service endpoints that don't answer probes. */
  readonly unresponsiveServices: Set<EndpointName>;
}

/** Runs a completion under a pinned version and counts its demand. */
export async function* serveCompletion(
  call: CompletionCall,
  version: VersionView,
  options: {
    readonly dependencies: ServingDependencies;
    readonly signal: AbortSignal;
    readonly stopBound?: StopBound;
  },
): AsyncGenerator<CompletionEvent> {
  const { dependencies, signal, stopBound } = options;
  const completion = createCompletionDependencies(dependencies.completion, {
    getEngine: (engine) => openPinnedEngine(version, engine, { dependencies }),
    listEngines: ({ model }) => listEngines(version, model, { dependencies }),
    getDelayMs: (from, to) => getDelayMs(version, { from, to }),
  });
  const confirmed: CompletionDependencies = {
    ...completion,
    async chooseRoute(
      ...choice
    ): ReturnType<CompletionDependencies["chooseRoute"]> {
      await dependencies.confirmMembers();
      return await completion.chooseRoute(...choice);
    },
  };
  const burn = dependencies.burn.startCall({
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
    const events = streamCompletion(call, confirmed, { signal, stopBound });
    for await (const event of events) {
      if (event.kind === "token") {
        outputTokens++;
        firstTokenMs ??= performance.now() - startMs;
        burn.recordTokens();
      }
      if (event.kind === "finish") end = { outcome: Outcome.Done };
      if (event.kind === "refused") end = describeRefusal(event.refusal);
      yield event;
    }
  } finally {
    burn.recordEnd(end);
    dependencies.metrics.recordRequest({
      target: call.model,
      end: end.refusal ?? end.outcome,
      durationMs: performance.now() - startMs,
      firstTokenMs,
      outputTokens,
    });
    const refused = end.refusal !== undefined;
    const demand = { promptTokens: call.promptTokens, outputTokens, refused };
    for (const pool of version.poolsByModel.get(call.model) ?? []) {
      dependencies.demand.note(pool.name, demand);
      dependencies.health.note(pool.name, end.refusal);
    }
  }
}

/** Opens an engine by its address in the pinned version; a later bundle may no longer list it. */
function openPinnedEngine(
  version: VersionView,
  engine: EndpointName,
  { dependencies }: { readonly dependencies: ServingDependencies },
): EngineClient {
  const address = version.engines.get(engine)?.engine.address ?? "";
  return dependencies.clients.openEngine(engine, address);
}

function describeRefusal({ outcome, reason }: Refusal): BurnCallEnd {
  return { outcome, refusal: reason };
}

/** Runs a call to a plain service under a pinned version. */
export async function serveCall(
  call: ServiceCall,
  version: VersionView,
  options: {
    readonly dependencies: ServingDependencies;
    readonly caller: BundleCaller;
  },
): Promise<Either<Refusal, CallAnswer>> {
  const { dependencies, caller } = options;
  const burn = dependencies.burn.startCall({
    caller: caller.name,
    group: caller.group,
    model: call.service.name,
    deadlineMs: caller.deadline_ms,
  });
  const startMs = performance.now();
  const result = await runRegistered(call, version, { dependencies });
  const end = result.caseOf<BurnCallEnd>({
    Left: describeRefusal,
    Right: ({ outcome }) => ({ outcome }),
  });
  burn.recordEnd(end);
  dependencies.metrics.recordRequest({
    target: call.service.name,
    end: end.refusal ?? end.outcome,
    durationMs: performance.now() - startMs,
  });
  return result;
}

/**
 * Other instances settle the calls of unregistered processes, so such a process
 * refuses calls that aren't idempotent.
 */
async function runRegistered(
  call: ServiceCall,
  version: VersionView,
  { dependencies }: { readonly dependencies: ServingDependencies },
): Promise<Either<Refusal, CallAnswer>> {
  if (isIdempotent(call) || dependencies.isRegistered()) {
    return await runCall(call, createCallContext(version, dependencies));
  }
  const isKeyed = call.request.key !== undefined;
  return Left({
    reason: RefusalReason.LogUnavailable,
    // An earlier request with the key may have run at another instance.
    outcome: isKeyed ? Outcome.Unknown : Outcome.NotRun,
    message: "The instance is not registered in the log",
    retryAfterMs: registrationRetryDelayMs,
  });
}

/** Creates the context of one call to a service under one version. */
export function createCallContext(
  version: VersionView,
  dependencies: ServingDependencies,
): CallContext {
  const { limits } = dependencies.completion;
  const callId = randomUUID();
  const watched = createWatchedCall(callId, dependencies.completion);
  const considered = new Set<EndpointName>();
  const mayUse = ({ name }: ServiceEndpoint): boolean => {
    if (!considered.has(name)) {
      considered.add(name);
      limits.recordDemand({ name });
    }
    return limits.mayUse({ name }, callId);
  };
  const rank = (service: ServiceCall["service"]): readonly ServiceEndpoint[] =>
    rankEndpoints(service.endpoints, version, { dependencies });
  return {
    callTracker: dependencies.callTracker,
    rankEndpoints: (service) => rank(service).filter(mayUse),
    openClient({ name, address }): ServiceClient {
      const client = dependencies.clients.openService(name, address);
      return {
        ...client,
        ping: async (signal): Promise<void> => {
          await dependencies.confirmMembers();
          await client.ping(signal);
        },
        async call(request, signal): Promise<ServiceAnswer> {
          await dependencies.confirmMembers();
          watched.check(request);
          limits.recordSend({ name });
          return await watched.run(name, () => client.call(request, signal));
        },
      };
    },
    isSuspect: ({ request }) => watched.isSuspect(request),
    refuseLimited(service): number | undefined {
      const endpoints = rank(service);
      if (endpoints.length === 0 || endpoints.some(mayUse)) return undefined;
      return limits.refuse(endpoints, callId);
    },
    logEvent,
  };
}

/** Engines of a model that neither leave nor are drained in the current control state. */
function listEngines(
  version: VersionView,
  model: string,
  { dependencies }: { readonly dependencies: ServingDependencies },
): ReadonlySet<EndpointName> {
  const pools = version.poolsByModel.get(model) ?? [];
  const names = pools.flatMap((pool) => pool.engines.map(({ name }) => name));
  return new Set(
    names.filter((name) =>
      dependencies.isAccepting(name) && !dependencies.isDraining(name)
    ),
  );
}

function rankEndpoints(
  endpoints: readonly ServiceEndpoint[],
  version: VersionView,
  { dependencies }: { readonly dependencies: ServingDependencies },
): readonly ServiceEndpoint[] {
  const own = dependencies.completion.ownDomain;
  const cost = (endpoint: ServiceEndpoint): number =>
    getDelayMs(version, { from: own, to: endpoint.failure_domain }) +
    dependencies.completion.random();
  return endpoints
    .filter(({ name }) => dependencies.isAccepting(name))
    .filter(({ name }) => !dependencies.unresponsiveServices.has(name))
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
