/** The lease holder's part of the bench: demand samples, plans, drain, change. */
import {
  type BundlePool,
  bundleSchema,
  type DemandSample,
  FenceCheck,
  type LoadReport,
  type PlannerInput,
  type PlanRoles,
  waitFor,
} from "@trefoildoor/core";
import type { FakeEngine } from "./fake_engine.ts";
import type { FigureCollector } from "./figures.ts";
import type { FleetShape } from "./fleet_shape.ts";
import type { BenchInstance } from "./instance.ts";

/** Options of the pool's holder. */
export interface PoolOptions {
  readonly shape: FleetShape;
  readonly engines: ReadonlyMap<string, FakeEngine>;
  readonly instances: readonly BenchInstance[];
  readonly reports: ReadonlyMap<string, ReceivedReport>;
  readonly plan: PlanRoles;
  readonly figures: FigureCollector;
}

/** A report with the time of its arrival. */
export interface ReceivedReport {
  readonly report: LoadReport;
  readonly atMs: number;
}

const sampleMs = 1_000;
const maxSamples = 120;
/** Time from a decision until every instance has read it from the log. */
const logDelayMs = 300;
const drainPollMs = 100;

/** Starts the holder's loop on the runtime's clock. */
export function startPool(options: PoolOptions): void {
  const samples: DemandSample[] = [];
  const pool = buildPool(options.shape);
  const draining = new Set<string>();
  let lastChangeMs: number | undefined;

  setInterval(() => {
    samples.push(sampleDemand(options.instances));
    if (samples.length > maxSamples) samples.shift();
    if (draining.size > 0) return;
    const input = buildInput(options, {
      pool,
      draining,
      samples,
      lastChangeMs,
    });
    const change = options.plan(input);
    const engine = change && options.engines.get(change.engine);
    if (engine) void runChange(engine, change.role);
  }, sampleMs);

  async function runChange(
    engine: FakeEngine,
    role: ReturnType<FakeEngine["getRole"]>,
  ): Promise<void> {
    options.figures.noteRoleChange();
    draining.add(engine.name);
    await waitFor(logDelayMs);
    for (const each of options.instances) each.setDraining(engine.name, true);
    while (engine.countJobs() > 0) await waitFor(drainPollMs);
    engine.setRole(role);
    while (engine.isChanging()) await waitFor(drainPollMs);
    await waitFor(logDelayMs);
    for (const each of options.instances) each.setDraining(engine.name, false);
    draining.delete(engine.name);
    lastChangeMs = performance.now();
  }
}

function sampleDemand(instances: readonly BenchInstance[]): DemandSample {
  const offered = instances.map((instance) => instance.readOffered());
  const toMs = performance.now();
  return {
    fromMs: toMs - sampleMs,
    toMs,
    requests: offered.reduce((sum, each) => sum + each.requests, 0),
    promptTokens: offered.reduce((sum, each) => sum + each.promptTokens, 0),
    outputTokens: offered.reduce((sum, each) => sum + each.outputTokens, 0),
    refused: offered.reduce((sum, each) => sum + each.refused, 0),
  };
}

function buildInput(
  options: PoolOptions,
  state: {
    readonly pool: BundlePool;
    readonly draining: ReadonlySet<string>;
    readonly samples: readonly DemandSample[];
    readonly lastChangeMs: number | undefined;
  },
): PlannerInput {
  const nowMs = performance.now();
  return {
    pool: state.pool,
    demand: state.samples,
    nowMs,
    lastChangeMs: state.lastChangeMs,
    engines: [...options.engines.values()].map((engine) => {
      const received = options.reports.get(engine.name);
      return {
        name: engine.name,
        failureDomain: engine.failureDomain,
        role: engine.getRole(),
        ready: !state.draining.has(engine.name) && !engine.isChanging(),
        report: received?.report,
        reportAgeMs: received
          ? nowMs - received.atMs + received.report.ageMs
          : Infinity,
      };
    }),
  };
}

function buildPool(shape: FleetShape): BundlePool {
  const bundle = bundleSchema.parse({
    version: 1,
    parent: 0,
    author: "bench",
    failure_domains: shape.failureDomains.map((name) => ({ name })),
    pools: [{
      name: shape.name,
      fence_check: FenceCheck.Checked,
      engines: shape.roles.map((role, index) => ({
        name: `engine-${index}`,
        failure_domain: shape.failureDomains[0],
        address: "127.0.0.1:1",
        role,
      })),
      models: [{ model: "drafts", version: "1" }],
      role_change_weight: shape.roleChangeWeight,
    }],
  });
  const [pool] = bundle.pools;
  if (!pool) throw new Error("The bundle has no pool");
  return pool;
}
