/** Ends of attempts: successes, and crashes of engines under requests. */
import { waitFor } from "../../shared/index.ts";
import type { EndpointName } from "../../types/index.ts";
import type { CompletionContext, VersionRouting } from "./dependencies.ts";
import {
  AttemptEnd,
  type CompletionCall,
  type CompletionDependencies,
} from "./types.ts";

/** Timeout of one state request to a possibly crashed engine, in ms. */
const probeTimeoutMs = 500;
const probeIntervalMs = 100;
/** Time within which an engine must answer a probe or counts as crashed, in ms. */
const probeWindowMs = 1_500;

/** Records how an attempt ended; after a lost one, resolves once the crash probe is over. */
export async function handleAttemptEnd(
  call: CompletionCall,
  attempt: Parameters<CompletionDependencies["handleAttemptEnd"]>[1],
  options: {
    readonly context: CompletionContext;
    readonly version: VersionRouting;
  },
): Promise<void> {
  const { suspects, promptCrashes, inFlight } = options.context;
  if (attempt.end === AttemptEnd.Finished) {
    suspects.recordSuccess(call.digest);
    promptCrashes.recordSuccess(call);
  }
  if (attempt.end === AttemptEnd.Lost) {
    inFlight.recordLoss(attempt.engine, call);
    await detectCrash(attempt.engine, {
      ...options,
      signal: attempt.signal,
    });
  }
  suspects.closeTrial(call.digest);
}

/**
 * Checks, before any retry, whether the engine of a lost request crashed, and
 * records the crash. If only the connection failed, the start ID is unchanged.
 */
async function detectCrash(
  engine: EndpointName,
  options: {
    readonly context: CompletionContext;
    readonly version: VersionRouting;
    readonly signal: AbortSignal;
  },
): Promise<void> {
  const { table } = options.context;
  const view = table.getView(engine);
  const knownId = view?.report?.startId;
  if (knownId === undefined) return;
  const startId = view?.unresponsive
    ? undefined
    : await fetchStartId(engine, options);
  if (startId === knownId) return;
  // After an aborted probe, the endpoint's own task detects the crash.
  if (startId === undefined && options.signal.aborted) return;
  // An engine that does not answer counts as crashed until it answers again.
  if (startId === undefined) table.setFlags(engine, { unresponsive: true });
  recordEngineCrash(engine, options.context, { startId: knownId });
}

/** Records the crash of one start of an engine against all requests that were in flight there. */
export function recordEngineCrash(
  engine: EndpointName,
  context: Pick<CompletionContext, "suspects" | "promptCrashes" | "inFlight">,
  options: { readonly startId: string },
): void {
  const requests = context.inFlight.listSuspects(engine);
  const digests = requests.map(({ digest }) => digest);
  context.suspects.recordCrash(engine, digests, options);
  context.promptCrashes.recordCrash(engine, requests, options);
}

/** Polls an engine for its start ID; undefined when it does not answer within `probeWindowMs` or the signal aborts. */
async function fetchStartId(
  engine: EndpointName,
  { version, signal }: {
    readonly version: VersionRouting;
    readonly signal: AbortSignal;
  },
): Promise<string | undefined> {
  const endMs = performance.now() + probeWindowMs;
  while (performance.now() < endMs && !signal.aborted) {
    const probe = new AbortController();
    const timer = setTimeout(() => probe.abort(), probeTimeoutMs);
    const state = await version.getEngine(engine).fetchState(
      AbortSignal.any([probe.signal, signal]),
    )
      .catch(() => undefined);
    clearTimeout(timer);
    if (state) return state.startId;
    await waitFor(probeIntervalMs, signal);
  }
  return undefined;
}
