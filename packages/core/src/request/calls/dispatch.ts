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
  for (const endpoint of context.rankEndpoints(call.service)) {
    if (call.signal.aborted) return undefined;
    if (await isAlive(context.openClient(endpoint), call.signal)) {
      return endpoint;
    }
  }
  return undefined;
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
  const endpoints = context.rankEndpoints(call.service);
  for (const [index, endpoint] of endpoints.entries()) {
    if (call.signal.aborted || index >= maxIdempotentAttempts) break;
    if (index > 0 && context.allowRetry?.() === false) break;
    const next = await sendOnce(call, context.openClient(endpoint));
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
