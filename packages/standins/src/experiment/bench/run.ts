/** One run of the bench: a load, a fleet and a policy on the paused clock. */
import type { LoadReport } from "@trefoildoor/core";
import { buildPolicy, type Policy } from "../policies/policy.ts";
import { createFakeEngine, type FakeEngine } from "./fake_engine.ts";
import { createFigureCollector, type RunFigures } from "./figures.ts";
import type { FleetShape } from "./fleet_shape.ts";
import { type BenchInstance, createBenchInstance } from "./instance.ts";
import type { Load } from "./load.ts";
import { type ReceivedReport, startPool } from "./pool.ts";
import { createRandom } from "./random.ts";
import { runPaused } from "./simulation.ts";

/** What a run consists of. */
export interface RunOptions {
  readonly shape: FleetShape;
  readonly load: Load;
  readonly policy: Policy;
  readonly seed: number;
}

/** Time after the last arrival in which answers may end. */
const tailMs = 30_000;

/** Runs the load and returns its figures. */
export async function runBench(options: RunOptions): Promise<RunFigures> {
  const lastPhase = options.load.phases.at(-1);
  const loadMs = lastPhase?.toMs ?? 0;
  const world = await runPaused(loadMs + tailMs, () => startWorld(options));
  const computed = world.engines.map((engine) => engine.getWork());
  return world.figures.build({
    durationMs: loadMs,
    computedTokens: computed.reduce(
      (sum, work) => sum + work.promptTokens + work.outputTokens,
      0,
    ),
  });
}

function startWorld(options: RunOptions): {
  readonly engines: readonly FakeEngine[];
  readonly figures: ReturnType<typeof createFigureCollector>;
} {
  const { load, seed } = options;
  const policy = buildPolicy(options.policy, options);
  const shape = { ...options.shape, roles: policy.roles };
  const figures = createFigureCollector();
  const random = createRandom(seed + 1);
  const reports = new Map<string, ReceivedReport>();
  const instances: BenchInstance[] = [];
  const engines = startEngines(shape, (engine, report) => {
    reports.set(engine, { report, atMs: performance.now() });
    for (const instance of instances) instance.observeReport(engine, report);
  });
  for (let index = 0; index < shape.instances; index++) {
    instances.push(createBenchInstance({
      domain: pickDomain(shape, index),
      engines,
      instances: shape.instances,
      delayMs: shape.delayMs,
      random,
      router: policy.createRouter(),
      createAdmission: policy.createAdmission,
      figures,
      startMs: performance.now(),
    }));
  }
  startPool({ shape, engines, instances, reports, plan: policy.plan, figures });
  startLoad(load, instances, { random });
  return { engines: [...engines.values()], figures };
}

function startEngines(
  shape: FleetShape,
  onReport: (engine: string, report: LoadReport) => void,
): ReadonlyMap<string, FakeEngine> {
  const engines = shape.roles.map((role, index) => {
    const name = `engine-${index}`;
    return createFakeEngine({
      name,
      failureDomain: pickDomain(shape, index),
      role,
      figures: shape.figures,
      onReport: (report) => onReport(name, report),
    });
  });
  return new Map(engines.map((engine) => [engine.name, engine]));
}

function pickDomain(shape: FleetShape, index: number): string {
  const domain = shape.failureDomains[index % shape.failureDomains.length];
  if (domain === undefined) throw new Error("The fleet has no domains");
  return domain;
}

function startLoad(
  load: Load,
  instances: readonly BenchInstance[],
  options: { readonly random: () => number },
): void {
  let index = 0;
  const startMs = performance.now();
  function scheduleNext(): void {
    const request = load.requests[index];
    if (!request) return;
    const waitMs = Math.max(request.atMs - (performance.now() - startMs), 0);
    setTimeout(() => {
      index += 1;
      const picked = Math.floor(options.random() * instances.length);
      void instances[picked]?.handle(request);
      scheduleNext();
    }, waitMs);
  }
  scheduleNext();
}
