/** What one instance needs to serve completions and calls, under whichever version a request pins. */
import {
  type CallAnswer,
  type CallBook,
  type CallContext,
  type CompletionCall,
  type CompletionContext,
  type CompletionEvent,
  createCompletionParts,
  type EndpointClients,
  type EndpointName,
  type FailureDomain,
  logEvent,
  type Refusal,
  runCall,
  type ServiceCall,
  type ServiceEndpoint,
  streamCompletion,
} from "@trefoildoor/core";
import type { Either } from "purify-ts";
import type { VersionView } from "../version/view.ts";
import type { DemandBook } from "./demand.ts";

/** What serving uses for as long as the process lives. */
export interface ServingParts {
  readonly completion: CompletionContext;
  readonly clients: EndpointClients;
  readonly book: CallBook;
  readonly demand: DemandBook;
  readonly isTaking: (endpoint: EndpointName) => boolean;
}

/** Runs a completion under a pinned version and counts its demand. */
export async function* serveCompletion(
  call: CompletionCall,
  version: VersionView,
  options: { readonly parts: ServingParts; readonly signal: AbortSignal },
): AsyncGenerator<CompletionEvent> {
  const { parts, signal } = options;
  const completion = createCompletionParts(parts.completion, {
    listEngines: ({ model }) => listEngines(version, model),
    getDelayMs: (from, to) => getDelayMs(version, { from, to }),
  });
  let outputTokens = 0;
  let refused = false;
  try {
    for await (const event of streamCompletion(call, completion, { signal })) {
      if (event.kind === "token") outputTokens++;
      if (event.kind === "refused") refused = true;
      yield event;
    }
  } finally {
    const demand = { promptTokens: call.promptTokens, outputTokens, refused };
    for (const pool of version.poolsByModel.get(call.model) ?? []) {
      parts.demand.note(pool.name, demand);
    }
  }
}

/** Runs a call to a plain service under a pinned version. */
export function serveCall(
  call: ServiceCall,
  version: VersionView,
  { parts }: { readonly parts: ServingParts },
): Promise<Either<Refusal, CallAnswer>> {
  return runCall(call, createCallContext(version, parts));
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

function listEngines(
  version: VersionView,
  model: string,
): ReadonlySet<EndpointName> {
  const pools = version.poolsByModel.get(model) ?? [];
  return new Set(
    pools.flatMap((pool) => pool.engines.map((engine) => engine.name)),
  );
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
    .filter((endpoint) => parts.isTaking(endpoint.name))
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
