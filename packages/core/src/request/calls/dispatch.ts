/** Sends calls to the endpoints of a plain service. */
import {
  Effect,
  RemoteError,
  type ServiceAnswer,
  type ServiceClient,
} from "../../types/index.ts";
import type {
  CallContext,
  ServiceCall,
  ServiceEndpoint,
} from "./call_types.ts";

const pingTimeoutMs = 1_000;
const maxIdempotentAttempts = 3;

/** Result of one or more attempts. */
export type AttemptResult =
  | { readonly kind: "answered"; readonly answer: ServiceAnswer }
  /** No endpoint ran the call. */
  | { readonly kind: "not_run"; readonly retryAfterMs?: number }
  /** An endpoint may have run the call. */
  | { readonly kind: "unknown" };

/** Finds the first endpoint that answers a ping within `pingTimeoutMs`; undefined when none does. */
export async function findLiveEndpoint(
  call: ServiceCall,
  context: CallContext,
): Promise<ServiceEndpoint | undefined> {
  const tried = new Set<string>();
  while (!call.signal.aborted) {
    const endpoint = findUntried(call, context, { tried });
    if (!endpoint) return undefined;
    tried.add(endpoint.name);
    const alive = await isAlive(context.openClient(endpoint), call.signal);
    if (alive && isAccepting(endpoint, call, { context })) return endpoint;
  }
  return undefined;
}

/** The best endpoint outside `tried`. Ranked anew for each attempt, as endpoints leave in the meantime. */
function findUntried(
  call: ServiceCall,
  context: CallContext,
  { tried }: { readonly tried: ReadonlySet<string> },
): ServiceEndpoint | undefined {
  return context.rankEndpoints(call.service).find(({ name }) =>
    !tried.has(name)
  );
}

function isAccepting(
  endpoint: ServiceEndpoint,
  call: ServiceCall,
  { context }: { readonly context: CallContext },
): boolean {
  return context.rankEndpoints(call.service).some(({ name }) =>
    name === endpoint.name
  );
}

/** Sends a call to one endpoint without retries; failures are returned, not thrown. */
export async function sendOnce(
  call: ServiceCall,
  client: ServiceClient,
): Promise<AttemptResult> {
  try {
    return {
      kind: "answered",
      answer: await client.call(call.request, call.signal),
    };
  } catch (error) {
    return classifyFailure(error);
  }
}

/** Sends an idempotent call to at most `maxIdempotentAttempts` endpoints in turn, within the retry budget, until one answers. */
export async function sendRepeatable(
  call: ServiceCall,
  context: CallContext,
): Promise<AttemptResult> {
  let end: AttemptResult = { kind: "not_run" };
  const tried = new Set<string>();
  while (!call.signal.aborted && tried.size < maxIdempotentAttempts) {
    const endpoint = findUntried(call, context, { tried });
    if (!endpoint) break;
    if (tried.size > 0 && context.allowRetry?.() === false) break;
    tried.add(endpoint.name);
    const next = await sendOnce(
      { ...call, request: { ...call.request, repeatable: true } },
      context.openClient(endpoint),
    );
    if (next.kind === "answered") return next;
    // If any attempt may have run, the call may have run.
    if (end.kind !== "unknown") end = next;
  }
  return end;
}

async function isAlive(
  client: ServiceClient,
  signal: AbortSignal,
): Promise<boolean> {
  const abort = new AbortController();
  const cancel = (): void => abort.abort();
  const timer = setTimeout(cancel, pingTimeoutMs);
  signal.addEventListener("abort", cancel, { once: true });
  try {
    await client.ping(abort.signal);
    return !abort.signal.aborted;
  } catch {
    return false;
  } finally {
    clearTimeout(timer);
    signal.removeEventListener("abort", cancel);
  }
}

function classifyFailure(error: unknown): AttemptResult {
  if (!(error instanceof RemoteError)) return { kind: "unknown" };
  if (error.effect !== Effect.None) return { kind: "unknown" };
  return { kind: "not_run", retryAfterMs: error.retryAfterMs };
}
