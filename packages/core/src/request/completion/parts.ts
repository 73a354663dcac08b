/** The decisions of one instance, put together for the run of completions. */
import { type Either, Left, Right } from "purify-ts";
import { waitFor } from "../../shared/index.ts";
import {
  type EndpointName,
  type EngineClient,
  type FailureDomain,
  Outcome,
  type Refusal,
  RefusalReason,
} from "../../types/index.ts";
import type { Admission } from "../admission/index.ts";
import { RepeatKind, type RetryBudget } from "../retries/index.ts";
import {
  chooseRoute,
  type EndpointTable,
  type Route,
  type RouteRequest,
} from "../routing/index.ts";
import { type Suspects, SuspectVerdict } from "../suspects/index.ts";
import type { InFlight } from "./in_flight.ts";
import {
  type AdmittedWork,
  AttemptEnd,
  type AttemptWork,
  type CompletionCall,
  type CompletionParts,
  type CompletionRoute,
} from "./types.ts";

const probeTimeoutMs = 500;
const probePauseMs = 100;
/** Time for a lost request's engine to answer before it counts as crashed, in ms. */
const probeTimeMs = 1_500;
const firstTokenSlackMs = 5_000;
const tokenSlackMs = 2_000;
/** Multiple of an estimate after which silence is no longer explained. */
const stallFactor = 4;
/** Longest wait of a suspect request for an engine of its own, in ms. */
const trialPatienceMs = 15_000;
/** Tokens after which a suspect no longer keeps others from its engine. */
const trialTokens = 16;
const trialRetryAfterMs = 2_000;
const suspectRetryAfterMs = 60_000;

/** What lives as long as the process and serves all completions. */
export interface CompletionContext {
  readonly table: EndpointTable;
  readonly admission: Admission;
  readonly budget: RetryBudget;
  readonly suspects: Suspects;
  readonly inFlight: InFlight;
  readonly ownDomain: FailureDomain;
  readonly random: () => number;
  /** Time in which evidence reaches the other instances, in ms. */
  readonly exchangeMs: number;
}

/** What the version pinned by a request says of its route. */
export interface VersionRoutes {
  readonly getEngine: (engine: EndpointName) => EngineClient;
  readonly listEngines: (call: CompletionCall) => ReadonlySet<EndpointName>;
  readonly getDelayMs: (from: FailureDomain, to: FailureDomain) => number;
}

/** Puts the decisions together for requests of one version. */
export function createCompletionParts(
  context: CompletionContext,
  version: VersionRoutes,
): CompletionParts {
  return {
    admit: (call, signal) => admitCall(call, context, { signal }),
    choose: (call, excluded, { signal }) =>
      chooseEngine(call, context, { version, excluded, signal }),
    getEngine: version.getEngine,
    openWork: (call, route) => openAttemptWork(call, route, { context }),
    allowRetry: (engine, { delivered }) =>
      context.budget.allowRepeat(
        engine,
        delivered > 0 ? RepeatKind.Resume : RepeatKind.Retry,
      ),
    noteAttemptEnd: (call, attempt) =>
      noteEnd(call, attempt, { context, version }),
  };
}

async function admitCall(
  call: CompletionCall,
  context: CompletionContext,
  options: { readonly signal: AbortSignal },
): Promise<Either<Refusal, AdmittedWork>> {
  if (context.suspects.judge(call.digest) === SuspectVerdict.Refused) {
    return Left(refuseSuspect());
  }
  return await context.admission.enter({
    caller: call.caller.name,
    share: call.caller.share,
    priority: call.priority,
    deadlineMs: call.deadlineMs,
    promptTokens: call.promptTokens,
    maxTokens: call.maxTokens,
    signal: options.signal,
  });
}

async function chooseEngine(
  call: CompletionCall,
  context: CompletionContext,
  options: {
    readonly version: VersionRoutes;
    readonly excluded: ReadonlySet<EndpointName>;
    readonly signal: AbortSignal;
  },
): Promise<Either<Refusal, CompletionRoute>> {
  const { version, excluded, signal } = options;
  const verdict = context.suspects.judge(call.digest);
  if (verdict === SuspectVerdict.Refused) return Left(refuseSuspect());
  const request = buildRouteRequest(call, context);
  const choose = (
    exclude: ReadonlySet<EndpointName>,
  ): Either<Refusal, Route> =>
    chooseRoute(request, context.table, {
      random: context.random,
      engines: version.listEngines(call),
      exclude,
      ownDomain: context.ownDomain,
      getDelayMs: version.getDelayMs,
    });
  if (verdict === SuspectVerdict.Alone) {
    const isUsable = (engine: EndpointName): boolean =>
      version.listEngines(call).has(engine) &&
      (context.table.getView(engine)?.usable ?? false);
    return await chooseTrial(call, context, {
      choose,
      excluded,
      isUsable,
      signal,
    });
  }
  const route = choose(excluded);
  route.ifRight(({ engine }) => context.budget.noteAccepted(engine));
  return route.map((chosen) => reserveRoute(chosen, call, { context }));
}

/** Counts the request at its engines without a gap after their choice, which drains rely on. */
function reserveRoute(
  route: Route,
  call: CompletionCall,
  { context }: { readonly context: CompletionContext },
): CompletionRoute {
  const engines = route.prefillOn === undefined
    ? [route.engine]
    : [route.engine, route.prefillOn];
  const removals = engines.map((engine) =>
    context.inFlight.add(engine, call.digest)
  );
  return { ...route, release: () => removals.forEach((remove) => remove()) };
}

/** Ways to choose an engine for a suspect request. */
interface TrialOptions {
  readonly choose: (
    exclude: ReadonlySet<EndpointName>,
  ) => Either<Refusal, Route>;
  readonly excluded: ReadonlySet<EndpointName>;
  /** Whether the engine takes work at this moment. */
  readonly isUsable: (engine: EndpointName) => boolean;
  readonly signal: AbortSignal;
}

/** Waits, for a bounded time, for an engine on which a suspect request is the only suspect. */
async function chooseTrial(
  call: CompletionCall,
  context: CompletionContext,
  options: TrialOptions,
): Promise<Either<Refusal, CompletionRoute>> {
  const patienceMs = Math.min(trialPatienceMs, call.deadlineMs / 2);
  const giveUpMs = performance.now() + patienceMs;
  while (performance.now() < giveUpMs && !options.signal.aborted) {
    const opened = openTrial(call, context, options);
    // Another instance may open a trial of the request, or on the engine, meanwhile.
    const pauseMs = context.exchangeMs * (1 + context.random() / 2);
    await waitFor(pauseMs, options.signal);
    const verdict = context.suspects.judge(call.digest);
    const isWanted = !options.signal.aborted &&
      verdict !== SuspectVerdict.Refused;
    if (opened && isWanted) {
      // The engine may have been drained, or have failed, meanwhile.
      const usable = options.isUsable(opened.engine);
      if (usable && context.suspects.checkTrial(call.digest)) {
        const route = { ...opened, prefillOn: undefined };
        return Right(reserveRoute(route, call, { context }));
      }
    }
    if (opened) context.suspects.closeTrial(call.digest);
    if (verdict === SuspectVerdict.Refused) return Left(refuseSuspect());
  }
  return Left(refuseTrial());
}

/** Opens a trial on the best engine that has none; does not count as in flight there. */
function openTrial(
  call: CompletionCall,
  context: CompletionContext,
  options: TrialOptions,
): Route | undefined {
  const tried = new Set(options.excluded);
  while (true) {
    const route = options.choose(tried).toMaybe().extract();
    if (!route) return undefined;
    if (context.suspects.openTrial(call.digest, route.engine)) return route;
    tried.add(route.engine);
  }
}

function buildRouteRequest(
  call: CompletionCall,
  context: CompletionContext,
): RouteRequest {
  return {
    promptTokens: call.promptTokens,
    expectedTokens: context.admission.estimateTokens(
      call.caller.name,
      call.maxTokens,
    ),
    prefixes: call.prefixes,
  };
}

function openAttemptWork(
  call: CompletionCall,
  route: CompletionRoute,
  options: { readonly context: CompletionContext },
): AttemptWork {
  const { context } = options;
  const { promptTokens, expectedTokens, prefixes } = buildRouteRequest(
    call,
    context,
  );
  const computed = route.prefillOn ? promptTokens : route.cachedTokens;
  const work = context.table.openWork(route.engine, {
    promptTokens,
    cachedTokens: computed,
    expectedTokens,
    prefixes,
  });
  const prefill = route.prefillOn === undefined
    ? undefined
    : context.table.openWork(route.prefillOn, {
      promptTokens,
      cachedTokens: route.cachedTokens,
      expectedTokens: 0,
      prefixes,
    });
  let started = false;
  let tokens = 0;
  return {
    noteFirstToken(): void {
      started = true;
      work.noteFirstToken();
      prefill?.noteFirstToken();
      prefill?.close();
    },
    noteToken(): void {
      work.noteToken();
      tokens += 1;
      // The next suspect may join; a crash from now on speaks against both.
      if (tokens === trialTokens) context.suspects.closeTrial(call.digest);
    },
    close(): void {
      work.close();
      prefill?.close();
      route.release();
    },
    getStallMs: () =>
      started
        ? tokenSlackMs + stallFactor * route.expectedTokenMs
        : firstTokenSlackMs + stallFactor * route.expectedFirstTokenMs,
  };
}

async function noteEnd(
  call: CompletionCall,
  attempt: Parameters<CompletionParts["noteAttemptEnd"]>[1],
  options: {
    readonly context: CompletionContext;
    readonly version: VersionRoutes;
  },
): Promise<void> {
  const { suspects, inFlight } = options.context;
  if (attempt.end === AttemptEnd.Finished) suspects.noteCompleted(call.digest);
  if (attempt.end === AttemptEnd.Lost) {
    inFlight.noteLoss(attempt.engine, call.digest);
    await noteCrashIfGone(attempt.engine, {
      ...options,
      signal: attempt.signal,
    });
  }
  suspects.closeTrial(call.digest);
}

/**
 * Finds out whether a lost request's engine crashed, before any retry. A link
 * that was cut leaves the engine at the same start.
 */
async function noteCrashIfGone(
  engine: EndpointName,
  options: {
    readonly context: CompletionContext;
    readonly version: VersionRoutes;
    readonly signal: AbortSignal;
  },
): Promise<void> {
  const { table, suspects, inFlight } = options.context;
  const view = table.getView(engine);
  const known = view?.report?.startId;
  if (known === undefined) return;
  const found = view?.silent ? undefined : await findStartId(engine, options);
  if (found === known) return;
  // The endpoint's own task sees the crash where the search was broken off.
  if (found === undefined && options.signal.aborted) return;
  // An engine that cannot answer counts as crashed until it shows otherwise.
  if (found === undefined) table.observeFlags(engine, { silent: true });
  suspects.noteCrash(engine, inFlight.listSuspects(engine), {
    startId: known,
  });
}

/** Asks for an engine's start until it answers or the time for that is over. */
async function findStartId(
  engine: EndpointName,
  { version, signal }: {
    readonly version: VersionRoutes;
    readonly signal: AbortSignal;
  },
): Promise<string | undefined> {
  const endMs = performance.now() + probeTimeMs;
  while (performance.now() < endMs && !signal.aborted) {
    const probe = new AbortController();
    const timer = setTimeout(() => probe.abort(), probeTimeoutMs);
    const state = await version.getEngine(engine).fetchState(
      AbortSignal.any([probe.signal, signal]),
    )
      .catch(() => undefined);
    clearTimeout(timer);
    if (state) return state.startId;
    await waitFor(probePauseMs, signal);
  }
  return undefined;
}

function refuseSuspect(): Refusal {
  return {
    reason: RefusalReason.Suspect,
    outcome: Outcome.NotRun,
    message: "Engines that ran this request crashed, so it is not run again",
    retryAfterMs: suspectRetryAfterMs,
  };
}

function refuseTrial(): Refusal {
  return {
    reason: RefusalReason.Overloaded,
    outcome: Outcome.NotRun,
    message:
      "The request may have crashed an engine and waits for one of its own",
    retryAfterMs: trialRetryAfterMs,
  };
}
