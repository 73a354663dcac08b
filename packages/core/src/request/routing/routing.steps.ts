/** Steps of `routing.feature`: load balancing, outdated reports, prefix affinity and split routes. */
import assert from "node:assert/strict";
import { Given, Then, When } from "@cucumber/cucumber";
import fc from "fast-check";
import { computePrefixDigests } from "../../connection/endpoint/prefix_digests.ts";
import {
  EngineRole,
  kvBlockTokens,
  type LoadReport,
} from "../../types/index.ts";
import {
  chooseRoute,
  createEndpointTable,
  type EndpointTable,
  type Route,
} from "./index.ts";

/** State of one scenario. */
interface RoutingWorld {
  table: EndpointTable;
  routes: Route[];
  matchSnapshot: (received: unknown) => void;
}

const propertyRun = { seed: 5_025, numRuns: 200 };

function buildReport(overrides: Partial<LoadReport>): LoadReport {
  return {
    sequence: 1,
    startId: "one",
    ageMs: 0,
    role: EngineRole.Mixed,
    changing: false,
    running: 0,
    queued: 0,
    queuedPromptTokens: 0,
    kvBlocksUsed: 0,
    kvBlocksTotal: 200,
    prefillTokensPerSecond: 5_000,
    decodeTokensPerSecond: 1_000,
    cachedPrefixes: [],
    ...overrides,
  };
}

function buildTable(roles: readonly EngineRole[]): EndpointTable {
  const table = createEndpointTable({ countInstances: () => 1 });
  for (const [index, role] of roles.entries()) {
    table.setFlags(`engine-${index}`, { failureDomain: "zone", role });
    table.observeReport(`engine-${index}`, buildReport({ role }));
  }
  return table;
}

function createSequence(): () => number {
  let state = 0;
  return () => {
    state = (state + 0.37) % 1;
    return state;
  };
}

/** Routes a long prompt and opens its work. */
function runRoute(
  table: EndpointTable,
  options: {
    readonly random: () => number;
    readonly prefixes: readonly string[];
  },
): Route {
  const promptTokens = 3_500;
  const route = chooseRoute(
    { promptTokens, expectedTokens: 50, prefixes: options.prefixes },
    table,
    { random: options.random, ownDomain: "zone", getDelayMs: () => 0 },
  ).unsafeCoerce();
  const size = { promptTokens, expectedTokens: 50, prefixes: options.prefixes };
  const ticket = table.openWork(route.engine, size);
  if (options.prefixes.length === 0) return route;
  ticket.recordFirstToken();
  ticket.close();
  return route;
}

Given(
  "an endpoint table that heard reports 5 and 7 of start one and report 1 of start two",
  function (this: RoutingWorld): void {
    this.table = createEndpointTable({ countInstances: () => 1 });
    const acceptedReports = [
      buildReport({ sequence: 5 }),
      buildReport({ sequence: 7 }),
      buildReport({ sequence: 1, startId: "two" }),
    ];
    for (const report of acceptedReports) {
      assert.ok(this.table.observeReport("engine-0", report));
    }
  },
);

Then(
  "late reports of either start are not taken",
  function (this: RoutingWorld): void {
    const late = [
      buildReport({ sequence: 6 }),
      buildReport({ sequence: 8 }),
      buildReport({ sequence: 1, startId: "two" }),
    ];
    for (const report of late) {
      assert.equal(this.table.observeReport("engine-0", report), false);
    }
    const view = this.table.getView("engine-0");
    assert.equal(view?.report?.startId, "two");
  },
);

Then(
  "any flag against an engine keeps every route away from it",
  function (): void {
    const flag = fc.constantFrom(
      "draining",
      "leaving",
      "unresponsive",
      "changing",
    );
    const flagged = fc.array(fc.tuple(fc.nat({ max: 5 }), flag), {
      minLength: 1,
      maxLength: 8,
    });
    fc.assert(
      fc.property(
        flagged,
        fc.infiniteStream(fc.double({ min: 0, max: 0.999, noNaN: true })),
        (flags, stream) => {
          const table = buildTable(Array(6).fill(EngineRole.Mixed));
          for (const [index, name] of flags) {
            table.setFlags(`engine-${index}`, { [name]: true });
          }
          const excluded = new Set(flags.map(([index]) => `engine-${index}`));
          const route = chooseRoute(
            { promptTokens: 100, expectedTokens: 10, prefixes: [] },
            table,
            {
              random: () => Number(stream.next().value),
              ownDomain: "zone",
              getDelayMs: () => 1,
            },
          );
          if (excluded.size === 6) return assert.ok(route.isLeft());
          assert.ok(!excluded.has(route.unsafeCoerce().engine));
        },
      ),
      propertyRun,
    );
  },
);

Given(
  "an endpoint table of {int} equal engines",
  function (this: RoutingWorld, count: number): void {
    this.table = buildTable(Array(count).fill(EngineRole.Mixed));
  },
);

When(
  "{int} long prompts are routed before any report",
  function (this: RoutingWorld, count: number): void {
    const random = createSequence();
    this.routes = Array.from(
      { length: count },
      () => runRoute(this.table, { random, prefixes: [] }),
    );
  },
);

Then(
  "each engine got {int} of them",
  function (this: RoutingWorld, count: number): void {
    for (const engine of ["engine-0", "engine-1"]) {
      const routed = this.routes.filter((route) => route.engine === engine);
      assert.equal(routed.length, count);
    }
  },
);

Given(
  "an endpoint table of a prefill engine and a decode engine",
  function (this: RoutingWorld): void {
    this.table = buildTable([EngineRole.Prefill, EngineRole.Decode]);
  },
);

Then(
  "the route computes the prompt on the one and generates on the other",
  function (this: RoutingWorld): void {
    const route = runRoute(this.table, {
      random: createSequence(),
      prefixes: [],
    });
    assert.equal(route.prefillEngine, "engine-0");
    assert.equal(route.engine, "engine-1");
  },
);

When(
  "{int} prompts with one prefix are routed one after the other",
  function (this: RoutingWorld, count: number): void {
    const random = createSequence();
    this.routes = Array.from(
      { length: count },
      () => runRoute(this.table, { random, prefixes: ["p1", "p2", "p3"] }),
    );
  },
);

Then(
  "one engine got at least {int} of them",
  function (this: RoutingWorld, minimum: number): void {
    const counts = new Map<string, number>();
    for (const { engine } of this.routes) {
      counts.set(engine, (counts.get(engine) ?? 0) + 1);
    }
    assert.ok(Math.max(...counts.values()) >= minimum);
  },
);

Then(
  "the prefix digests match the snapshot",
  function (this: RoutingWorld): void {
    const block = "a ".repeat(kvBlockTokens);
    const other = "b ".repeat(kvBlockTokens);
    const digest = (prompt: string, model = "drafts"): readonly string[] =>
      computePrefixDigests({ model, prompt });
    this.matchSnapshot({
      none: digest(block.slice(2)),
      two: digest(`${block}${other}rest`),
      swapped: digest(`${other}${block}`),
      otherModel: digest(block, "checks"),
    });
  },
);
