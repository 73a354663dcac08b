/** What one request costs a node, and how that grows with the fleet. */
import {
  chooseRoute,
  createBurnCounters,
  createEndpointTable,
  type EndpointTable,
  Outcome,
} from "@trefoildoor/core";
import { buildReport, formatEngine } from "./fleet_sizes.ts";
import { measureHeap, measureProcessor } from "./measure.ts";
import { Quantity, type SlopeSeries } from "./slope.ts";

const engineCounts = [64, 300, 1_200, 2_400];
const poolSizes = [8, 50, 100, 200];
const prefixCounts = [0, 64, 256];
const groupCounts = [5, 50, 150];
const tokenCounts = [10, 100, 1_000];

/** Measures routing, the endpoint table and the service-level counters. */
export async function measureRequests(): Promise<readonly SlopeSeries[]> {
  return [
    await measureRouting(),
    await measurePoolRouting(),
    measureTable(),
    measurePrefixes(),
    await measureCounting(),
    measureSummary(),
  ];
}

/** Routing over all engines of the node's table. */
async function measureRouting(): Promise<SlopeSeries> {
  const points = [];
  for (const size of engineCounts) {
    const table = buildTable(size);
    const value = await measureProcessor(() => chooseOnce(table));
    points.push({ size, value });
  }
  return {
    name: "route",
    quantity: Quantity.Processor,
    of: "request",
    per: "engine in the table",
    points,
  };
}

/** Routing among the engines of one model, with 2,400 in the table. */
async function measurePoolRouting(): Promise<SlopeSeries> {
  const table = buildTable(2_400);
  const points = [];
  for (const size of poolSizes) {
    const engines = new Set(
      Array.from({ length: size }, (_, index) => formatEngine(index)),
    );
    const value = await measureProcessor(() => chooseOnce(table, engines));
    points.push({ size, value });
  }
  return {
    name: "route-pool",
    quantity: Quantity.Processor,
    of: "request, 2,400 engines in the table",
    per: "engine that runs the model",
    points,
  };
}

function measureTable(): SlopeSeries {
  return {
    name: "table",
    quantity: Quantity.Heap,
    of: "endpoint table, 64 prefixes in each report",
    per: "engine",
    points: engineCounts.map((size) => ({
      size,
      value: measureHeap(() => buildTable(size)),
    })),
  };
}

function measurePrefixes(): SlopeSeries {
  return {
    name: "prefixes",
    quantity: Quantity.Heap,
    of: "one engine's entry",
    per: "cached prefix in its report",
    points: prefixCounts.map((size) => ({
      size,
      value: measureHeap(() => buildTable(400, size)) / 400,
    })),
  };
}

/** Counters of one request by its tokens, each sent on its own. */
async function measureCounting(): Promise<SlopeSeries> {
  const counters = createBurnCounters({
    instance: "entry-1",
    getObjectives: () => [],
  });
  const points = [];
  for (const size of tokenCounts) {
    const value = await measureProcessor(() => {
      const call = counters.startCall({
        caller: "caller-1",
        group: "group-1",
        model: "model-1",
      });
      for (let token = 0; token < size; token++) call.recordTokens();
      call.recordEnd({ outcome: Outcome.Done });
    });
    points.push({ size, value });
  }
  return {
    name: "burn-count",
    quantity: Quantity.Processor,
    of: "request",
    per: "token sent",
    points,
  };
}

/** Bytes of a summary by its groups, with one model and all usual counters. */
function measureSummary(): SlopeSeries {
  return {
    name: "burn-wire",
    quantity: Quantity.Wire,
    of: "summary, three counters for each group",
    per: "caller group",
    points: groupCounts.map((size) => {
      const counters = createBurnCounters({
        instance: "entry-100-1767225600000",
        getObjectives: () => [],
      });
      for (let index = 0; index < size; index++) {
        const call = counters.startCall({
          group: `group-${index}`,
          model: "model-1",
        });
        call.recordTokens(300);
        call.recordEnd({ outcome: Outcome.Done });
      }
      const summary = JSON.stringify(counters.buildSummary());
      return { size, value: Buffer.byteLength(summary) };
    }),
  };
}

function buildTable(engines: number, prefixes = 64): EndpointTable {
  const table = createEndpointTable({ countInstances: () => 410 });
  for (let index = 0; index < engines; index++) {
    const engine = formatEngine(index);
    table.setFlags(engine, { failureDomain: `domain-${index % 17}` });
    table.observeReport(engine, buildReport(index + 1, prefixes));
  }
  return table;
}

let drawn = 0;

function chooseOnce(
  table: EndpointTable,
  engines?: ReadonlySet<string>,
): unknown {
  // A low-discrepancy sequence stands for random numbers.
  const random = (): number => (drawn = (drawn + 0.618_033_988_75) % 1);
  return chooseRoute(
    { promptTokens: 3_000, expectedTokens: 300, prefixes: ["a", "b", "c"] },
    table,
    {
      random,
      ...(engines && { engines }),
      ownDomain: "domain-1",
      getDelayMs: (from, to) => from === to ? 0 : 3,
    },
  );
}
