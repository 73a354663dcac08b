/** One task for each engine of the bundle in force: polls its load and flags it while it is silent. */
import {
  type EndpointName,
  type EngineClient,
  type LoadReport,
  logEvent,
  type Suspects,
  waitFor,
} from "@trefoildoor/core";
import type { EndpointTable, InFlight } from "@trefoildoor/core";
import { daemonEvents } from "../events.ts";

const pollIntervalMs = 500;
const pollTimeoutMs = 1_500;

/** What the watch of engines uses. */
export interface EngineWatchParts {
  readonly table: EndpointTable;
  readonly suspects: Suspects;
  readonly inFlight: InFlight;
  readonly getEngine: (engine: EndpointName) => EngineClient;
}

/** Tasks by engine. */
export interface EngineWatch {
  /** Starts tasks of new engines and ends those of engines that are gone. */
  readonly follow: (engines: ReadonlySet<EndpointName>) => void;
  readonly stop: () => void;
}

/** Creates the watch. */
export function createEngineWatch(parts: EngineWatchParts): EngineWatch {
  const tasks = new Map<EndpointName, AbortController>();
  const stopTask = (engine: EndpointName): void => {
    tasks.get(engine)?.abort();
    tasks.delete(engine);
  };
  return {
    follow(engines): void {
      for (const engine of [...tasks.keys()]) {
        if (engines.has(engine)) continue;
        stopTask(engine);
        parts.table.removeEngine(engine);
      }
      for (const engine of engines) {
        if (tasks.has(engine)) continue;
        const task = new AbortController();
        tasks.set(engine, task);
        void keepEngine(engine, parts, { signal: task.signal });
      }
    },
    stop(): void {
      for (const engine of [...tasks.keys()]) stopTask(engine);
    },
  };
}

async function keepEngine(
  engine: EndpointName,
  parts: EngineWatchParts,
  { signal }: { readonly signal: AbortSignal },
): Promise<void> {
  while (!signal.aborted) {
    const timeout = AbortSignal.any([
      signal,
      AbortSignal.timeout(pollTimeoutMs),
    ]);
    const report = await parts.getEngine(engine).fetchLoad(timeout).catch(() =>
      undefined
    );
    if (signal.aborted) return;
    noteReport(engine, report, { parts });
    await waitFor(pollIntervalMs, signal);
  }
}

function noteReport(
  engine: EndpointName,
  report: LoadReport | undefined,
  { parts }: { readonly parts: EngineWatchParts },
): void {
  const { table, suspects, inFlight } = parts;
  const view = table.getView(engine);
  if (!report) {
    if (!view?.silent) {
      logEvent(daemonEvents.endpointSuspected, { endpoint: engine });
    }
    table.observeFlags(engine, { silent: true });
    return;
  }
  const earlier = view?.report?.startId;
  if (earlier !== undefined && earlier !== report.startId) {
    suspects.noteCrash(engine, inFlight.listSuspects(engine), {
      startId: earlier,
    });
  }
  table.observeReport(engine, report);
  table.observeFlags(engine, { silent: false });
}
