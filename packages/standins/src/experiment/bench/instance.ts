/** One entry instance of the bench: the daemon's decisions over fake engines. */
import {
  type Admission,
  type AdmissionTicket,
  createEndpointTable,
  createRetryBudget,
  type EndpointTable,
  type FailureDomain,
  kvBlockTokens,
  type LoadReport,
  RefusalReason,
  RepeatKind,
  type Route,
  type RouteOptions,
  waitFor,
  type WorkTicket,
} from "@trefoildoor/core";
import type { CreateAdmission, Router } from "../policies/policy.ts";
import type { FakeEngine } from "./fake_engine.ts";
import type { FigureCollector } from "./figures.ts";
import type { LoadRequest } from "./load.ts";

/** An entry instance. */
export interface BenchInstance {
  readonly table: EndpointTable;
  readonly admission: Admission;
  readonly observeReport: (engine: string, report: LoadReport) => void;
  readonly setDraining: (engine: string, draining: boolean) => void;
  readonly handle: (request: LoadRequest) => Promise<void>;
  /** Work offered since the last call, for the planner's demand samples. */
  readonly readOffered: () => OfferedWork;
}

/** Work offered to an instance. */
export interface OfferedWork {
  readonly requests: number;
  readonly promptTokens: number;
  readonly outputTokens: number;
  readonly refused: number;
}

/** Options of an instance. */
export interface BenchInstanceOptions {
  readonly domain: FailureDomain;
  readonly engines: ReadonlyMap<string, FakeEngine>;
  readonly instances: number;
  readonly delayMs: number;
  readonly random: () => number;
  readonly router: Router;
  readonly createAdmission: CreateAdmission;
  readonly figures: FigureCollector;
  readonly startMs: number;
}

interface Running {
  readonly request: LoadRequest;
  readonly arrivedMs: number;
  readonly ticket: AdmissionTicket;
  readonly excluded: Set<string>;
  lastTokenMs: number | undefined;
  tokens: number;
}

const transferBlocksPerSecond = 100;
const msPerSecond = 1_000;
const maxAttempts = 4;
const noWork: OfferedWork = {
  requests: 0,
  promptTokens: 0,
  outputTokens: 0,
  refused: 0,
};

/** Creates an entry instance. */
export function createBenchInstance(
  options: BenchInstanceOptions,
): BenchInstance {
  const { engines, figures } = options;
  const table = createEndpointTable({
    countInstances: () => options.instances,
  });
  const admission = options.createAdmission(table, options.instances);
  const budget = createRetryBudget();
  let offered = noWork;
  for (const engine of engines.values()) {
    table.setFlags(engine.name, {
      failureDomain: engine.failureDomain,
      role: engine.getRole(),
    });
  }

  function getDelayMs(from: FailureDomain, to: FailureDomain): number {
    return from === to ? 0 : options.delayMs;
  }

  function noteOffered(request: LoadRequest): void {
    figures.noteOffered();
    const { caller, maxTokens } = request.kind;
    offered = {
      ...offered,
      requests: offered.requests + 1,
      promptTokens: offered.promptTokens + request.promptTokens,
      outputTokens: offered.outputTokens +
        admission.estimateTokens(caller, maxTokens),
    };
  }

  function noteRefused(reason: RefusalReason): void {
    figures.noteRefused(reason);
    offered = { ...offered, refused: offered.refused + 1 };
  }

  async function handle(request: LoadRequest): Promise<void> {
    noteOffered(request);
    const arrivedMs = performance.now();
    const { kind, promptTokens } = request;
    const entered = await admission.enter({ ...kind, promptTokens });
    if (entered.isLeft()) {
      return entered.ifLeft((refusal) => noteRefused(refusal.reason)),
        undefined;
    }
    const ticket = entered.unsafeCoerce();
    const running: Running = {
      request,
      arrivedMs,
      ticket,
      excluded: new Set(),
      lastTokenMs: undefined,
      tokens: 0,
    };
    const done = await runAttempts(running);
    const nowMs = performance.now();
    const useful = done && nowMs - arrivedMs <= kind.deadlineMs;
    ticket.close({ outputTokens: running.tokens, useful });
    if (!done) return;
    figures.noteCompleted({
      caller: kind.caller,
      useful,
      tokens: promptTokens + running.tokens,
      atMs: nowMs - options.startMs,
    });
  }

  async function runAttempts(running: Running): Promise<boolean> {
    for (let attempt = 0; attempt < maxAttempts; attempt++) {
      const route = chooseFor(running);
      if (!route) {
        noteRefused(RefusalReason.NoEndpoint);
        return false;
      }
      const kind = RepeatKind.Retry;
      if (attempt === 0) budget.recordAccepted(route.engine);
      else if (!budget.consumeRepeat(route.engine, kind)) break;
      figures.noteCall();
      const failedAt = await runAttempt(running, route);
      if (failedAt === undefined) return true;
      running.excluded.add(failedAt);
    }
    figures.noteFailed();
    return false;
  }

  function chooseFor(running: Running): Route | undefined {
    const { request, ticket } = running;
    const routeOptions: RouteOptions = {
      random: options.random,
      exclude: running.excluded,
      ownDomain: options.domain,
      getDelayMs,
    };
    const needs = {
      promptTokens: request.promptTokens,
      expectedTokens: ticket.expectedTokens,
      prefixes: request.prefixes,
    };
    return options.router(needs, table, routeOptions)
      .toMaybe().extract();
  }

  /** Resolves to the engine that did not take the work, if one did not. */
  async function runAttempt(
    running: Running,
    route: Route,
  ): Promise<string | undefined> {
    const tickets: WorkTicket[] = [];
    try {
      if (route.prefillEngine !== undefined) {
        const prefill = engines.get(route.prefillEngine);
        tickets.push(openWork(route.prefillEngine, { running, route }));
        const taken = prefill && await runPrefill(prefill, running.request);
        tickets.pop()?.close();
        if (!taken) return route.prefillEngine;
      }
      const engine = engines.get(route.engine);
      tickets.push(openWork(route.engine, { running, route }));
      const taken = engine && await runGenerate(engine, running, {
        ticket: tickets[0],
        imported: route.prefillEngine !== undefined,
      });
      return taken ? undefined : route.engine;
    } finally {
      for (const ticket of tickets) ticket.close();
    }
  }

  function openWork(
    engine: string,
    attempt: { readonly running: Running; readonly route: Route },
  ): WorkTicket {
    const { running, route } = attempt;
    const { request, ticket } = running;
    const imported = route.prefillEngine !== undefined &&
      engine !== route.prefillEngine;
    return table.openWork(engine, {
      promptTokens: request.promptTokens,
      cachedTokens: imported ? request.promptTokens : route.cachedTokens,
      expectedTokens: ticket.expectedTokens,
      prefixes: request.prefixes,
    });
  }

  async function runPrefill(
    engine: FakeEngine,
    request: LoadRequest,
  ): Promise<boolean> {
    await waitFor(getDelayMs(options.domain, engine.failureDomain));
    const taken = await new Promise<boolean>((resolve) => {
      const started = engine.start({
        promptTokens: request.promptTokens,
        outputTokens: 1,
        prefixes: request.prefixes,
        priority: request.kind.priority,
        prefillOnly: true,
        imported: false,
        onToken: () => undefined,
        onEnd: () => resolve(true),
      });
      if (!started) resolve(false);
    });
    const blocks = Math.ceil(request.promptTokens / kvBlockTokens);
    if (taken) await waitFor(blocks * msPerSecond / transferBlocksPerSecond);
    return taken;
  }

  async function runGenerate(
    engine: FakeEngine,
    running: Running,
    { ticket, imported }: {
      readonly ticket: WorkTicket | undefined;
      readonly imported: boolean;
    },
  ): Promise<boolean> {
    const delayMs = getDelayMs(options.domain, engine.failureDomain);
    await waitFor(delayMs);
    return new Promise<boolean>((resolve) => {
      const { request } = running;
      const started = engine.start({
        promptTokens: request.promptTokens,
        outputTokens: request.outputTokens,
        prefixes: request.prefixes,
        priority: request.kind.priority,
        prefillOnly: false,
        imported,
        onToken: () => {
          noteToken(running, delayMs);
          ticket?.recordFirstToken();
        },
        onEnd: () => resolve(true),
      });
      if (!started) resolve(false);
    });
  }

  function noteToken(running: Running, delayMs: number): void {
    const nowMs = performance.now();
    running.tokens += 1;
    if (running.lastTokenMs === undefined) {
      running.ticket.recordFirstToken();
      figures.noteFirstToken(nowMs - running.arrivedMs + delayMs);
    } else {
      figures.noteBetweenTokens(nowMs - running.lastTokenMs);
    }
    running.lastTokenMs = nowMs;
  }

  return {
    table,
    admission,
    observeReport: (engine, report) => void table.observeReport(engine, report),
    setDraining: (engine, draining) => table.setFlags(engine, { draining }),
    handle,
    readOffered(): OfferedWork {
      const read = offered;
      offered = noWork;
      return read;
    },
  };
}
