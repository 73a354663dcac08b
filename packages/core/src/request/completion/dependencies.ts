/** Connects completions to admission, routing, retry budget and crash suspects. */
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
import type { EndpointLimits } from "../../process/limits/index.ts";
import type { Admission } from "../admission/index.ts";
import { RepeatKind, type RetryBudget } from "../retries/index.ts";
import {
  chooseRoute,
  type EndpointTable,
  getSoftwareVersion,
  type Route,
  type RouteRequest,
} from "../routing/index.ts";
import { type Suspects, SuspectVerdict } from "../suspects/index.ts";
import { handleAttemptEnd } from "./attempt_ends.ts";
import type { InFlightRequests } from "./in_flight.ts";
import type { PromptCrashes } from "./prompt_crashes.ts";
import {
  type AdmittedRequest,
  type AttemptWork,
  type CompletionCall,
  type CompletionDependencies,
  type CompletionRoute,
} from "./types.ts";

/** Constant part of the stall timeout before the first token, in ms. */
const firstTokenSlackMs = 5_000;
/** Constant part of the stall timeout between tokens, in ms. */
const tokenSlackMs = 2_000;
/** Multiple of the expected time to the next token that the stall timeout adds to its constant part. */
const stallFactor = 4;
/** Longest wait of a suspect request for an engine without another suspect, in ms. */
const maxTrialWaitMs = 15_000;
/** Tokens after which a trial closes and its engine accepts another suspect. */
const trialTokens = 16;
const trialRetryAfterMs = 2_000;
const suspectRetryAfterMs = 60_000;

/** State of the process that all completions share. */
export interface CompletionContext {
  readonly table: EndpointTable;
  readonly admission: Admission;
  readonly budget: RetryBudget;
  readonly suspects: Suspects;
  readonly promptCrashes: PromptCrashes;
  readonly inFlight: InFlightRequests;
  readonly limits: EndpointLimits;
  readonly ownDomain: FailureDomain;
  readonly random: () => number;
  /** Time in which crash evidence reaches the other instances, in ms. */
  readonly evidenceDelayMs: number;
}

/** Routing data of the configuration version that a request is pinned to. */
export interface VersionRouting {
  readonly getEngine: (engine: EndpointName) => EngineClient;
  readonly listEngines: (call: CompletionCall) => ReadonlySet<EndpointName>;
  readonly getDelayMs: (from: FailureDomain, to: FailureDomain) => number;
}

/** Creates the dependencies for completions pinned to one version. */
export function createCompletionDependencies(
  context: CompletionContext,
  version: VersionRouting,
): CompletionDependencies {
  return {
    admit: (call, signal) => admitCall(call, context, { signal }),
    chooseRoute: (call, excluded, { signal, softwareVersion }) =>
      chooseEngine(call, context, {
        version,
        excluded,
        signal,
        softwareVersion,
      }),
    getSoftwareVersion: (engine) =>
      getSoftwareVersion(context.table.getView(engine)),
    allowResume(engine, call): boolean {
      if (!context.limits.mayUse({ name: engine }, call.requestId)) {
        return false;
      }
      context.limits.recordSend({ name: engine });
      return true;
    },
    getEngine: version.getEngine,
    isLeaving: (engine) => context.table.getView(engine)?.leaving ?? false,
    openWork: (call, route) => openAttemptWork(call, route, { context }),
    allowRetry: (engine, { delivered }) =>
      context.budget.consumeRepeat(
        engine,
        delivered > 0 ? RepeatKind.Resume : RepeatKind.Retry,
      ),
    handleAttemptEnd: (call, attempt) =>
      handleAttemptEnd(call, attempt, { context, version }),
  };
}

async function admitCall(
  call: CompletionCall,
  context: CompletionContext,
  options: { readonly signal: AbortSignal },
): Promise<Either<Refusal, AdmittedRequest>> {
  if (isRefused(call, context)) return Left(refuseSuspect());
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

/** Whether engines crashed under the request, or under others with a prefix of its prompt. */
function isRefused(call: CompletionCall, context: CompletionContext): boolean {
  const verdict = context.suspects.getVerdict(call.digest);
  return verdict === SuspectVerdict.Refused ||
    context.promptCrashes.findVerdict(call) !== undefined;
}

async function chooseEngine(
  call: CompletionCall,
  context: CompletionContext,
  options: {
    readonly version: VersionRouting;
    readonly excluded: ReadonlySet<EndpointName>;
    readonly signal: AbortSignal;
    readonly softwareVersion: string | undefined;
  },
): Promise<Either<Refusal, CompletionRoute>> {
  const { version, excluded, signal, softwareVersion } = options;
  const mayUse = createLimitCheck(call, context);
  const verdict = context.suspects.getVerdict(call.digest);
  if (isRefused(call, context)) return Left(refuseSuspect());
  const request = buildRouteRequest(call, context);
  const choose = (
    exclude: ReadonlySet<EndpointName>,
  ): Either<Refusal, Route> => {
    const heldBack = new Set<EndpointName>();
    while (true) {
      const route = chooseRoute(request, context.table, {
        random: context.random,
        engines: version.listEngines(call),
        exclude: new Set([...exclude, ...heldBack]),
        softwareVersion,
        ownDomain: context.ownDomain,
        getDelayMs: version.getDelayMs,
      });
      const full = listEngines(route).find((engine) => !mayUse(engine));
      if (full === undefined) {
        return heldBack.size === 0
          ? route
          : route.mapLeft(() => refuseHeldBack(call, context, { heldBack }));
      }
      heldBack.add(full);
    }
  };
  if (verdict === SuspectVerdict.Isolated) {
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
  route.ifRight(({ engine }) => context.budget.recordAccepted(engine));
  return route.map((chosen) => reserveRoute(chosen, call, { context }));
}

/** Creates a check whether engines' limits leave room for the call, which counts as demand there. */
function createLimitCheck(
  { requestId }: CompletionCall,
  { limits }: CompletionContext,
): (engine: EndpointName) => boolean {
  const considered = new Set<EndpointName>();
  return (name) => {
    if (!considered.has(name)) {
      considered.add(name);
      limits.recordDemand({ name });
    }
    return limits.mayUse({ name }, requestId);
  };
}

/** Engines to which a route sends requests. */
function listEngines(route: Either<Refusal, Route>): readonly EndpointName[] {
  return route.map(({ engine, prefillEngine }) =>
    prefillEngine === undefined ? [engine] : [engine, prefillEngine]
  ).orDefault([]);
}

/** Refuses a call for which the limits of engines leave no room. */
function refuseHeldBack(
  call: CompletionCall,
  { limits }: CompletionContext,
  { heldBack }: { readonly heldBack: ReadonlySet<EndpointName> },
): Refusal {
  const endpoints = [...heldBack].map((name) => ({ name }));
  return {
    reason: RefusalReason.Limited,
    outcome: Outcome.NotRun,
    message: "The engines limit their requests",
    retryAfterMs: limits.refuse(endpoints, call.requestId),
  };
}

/** Adds the request to its engines' in-flight counts right after the choice; drains rely on there being no gap. */
function reserveRoute(
  route: Route,
  call: CompletionCall,
  { context }: { readonly context: CompletionContext },
): CompletionRoute {
  const engines = listEngines(Right(route));
  for (const name of engines) context.limits.recordSend({ name });
  const removals = engines.map((engine) => context.inFlight.add(engine, call));
  return { ...route, release: () => removals.forEach((remove) => remove()) };
}

/** Options for choosing an engine for a suspect request. */
interface TrialOptions {
  readonly choose: (
    exclude: ReadonlySet<EndpointName>,
  ) => Either<Refusal, Route>;
  readonly excluded: ReadonlySet<EndpointName>;
  /** Whether the engine currently accepts requests. */
  readonly isUsable: (engine: EndpointName) => boolean;
  readonly signal: AbortSignal;
}

/** Waits up to half the deadline, at most `maxTrialWaitMs`, for an engine where the request is the only suspect. */
async function chooseTrial(
  call: CompletionCall,
  context: CompletionContext,
  options: TrialOptions,
): Promise<Either<Refusal, CompletionRoute>> {
  const maxWaitMs = Math.min(maxTrialWaitMs, call.deadlineMs / 2);
  const waitEndMs = performance.now() + maxWaitMs;
  while (performance.now() < waitEndMs && !options.signal.aborted) {
    const opened = openTrial(call, context, options);
    // Wait for trials that other instances open for this request or on this engine.
    const pauseMs = context.evidenceDelayMs * (1 + context.random() / 2);
    await waitFor(pauseMs, options.signal);
    const refused = isRefused(call, context);
    const shouldRun = !options.signal.aborted && !refused;
    if (opened && shouldRun) {
      // The engine may have been drained or failed during the wait.
      const usable = options.isUsable(opened.engine);
      if (usable && context.suspects.checkTrial(call.digest)) {
        const route = { ...opened, prefillOn: undefined };
        return Right(reserveRoute(route, call, { context }));
      }
    }
    if (opened) context.suspects.closeTrial(call.digest);
    if (refused) return Left(refuseSuspect());
  }
  return Left(refuseTrialTimeout());
}

/** Opens a trial on the best engine without one; does not add to its in-flight count. */
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
  // With a separate prefill engine, the whole prompt counts as cached at the decoding engine.
  const computed = route.prefillEngine ? promptTokens : route.cachedTokens;
  const work = context.table.openWork(route.engine, {
    promptTokens,
    cachedTokens: computed,
    expectedTokens,
    prefixes,
  });
  const prefill = route.prefillEngine === undefined
    ? undefined
    : context.table.openWork(route.prefillEngine, {
      promptTokens,
      cachedTokens: route.cachedTokens,
      expectedTokens: 0,
      prefixes,
    });
  let started = false;
  let tokens = 0;
  return {
    recordFirstToken(): void {
      started = true;
      work.recordFirstToken();
      prefill?.recordFirstToken();
      prefill?.close();
    },
    recordToken(): void {
      work.recordToken();
      tokens += 1;
      // Another suspect may now use the engine; a later crash counts against both.
      if (tokens === trialTokens) context.suspects.closeTrial(call.digest);
    },
    close(): void {
      work.close();
      prefill?.close();
      route.release();
    },
    getStallTimeoutMs: () =>
      started
        ? tokenSlackMs + stallFactor * route.expectedTokenMs
        : firstTokenSlackMs + stallFactor * route.expectedFirstTokenMs,
  };
}

function refuseSuspect(): Refusal {
  return {
    reason: RefusalReason.Suspect,
    outcome: Outcome.NotRun,
    message: "Engines that ran this request crashed, so it is not run again",
    retryAfterMs: suspectRetryAfterMs,
  };
}

function refuseTrialTimeout(): Refusal {
  return {
    reason: RefusalReason.Overloaded,
    outcome: Outcome.NotRun,
    message:
      "The request may have crashed an engine and waits for one of its own",
    retryAfterMs: trialRetryAfterMs,
  };
}
