/** Background tasks of one instance. */
import {
  type BundleService,
  createCallLookUp,
  type EndpointName,
  keepCallsSettled,
  type KeepSettledOptions,
  logEvent,
  type ServiceName,
  waitFor,
} from "@trefoildoor/core";
import { keepPeers } from "../connection/peers/index.ts";
import { daemonEvents } from "../events.ts";
import { createEngineWatch } from "./engine_watch.ts";
import { createPeersParts } from "./exchange.ts";
import type { Instance } from "./instance.ts";
import { createCallContext } from "./serving.ts";

type LookUpCall = KeepSettledOptions["lookUp"];

const flagIntervalMs = 200;
const restartPauseMs = 1_000;

/** Starts all tasks; they end when the instance's signal aborts. */
export function startTasks(
  instance: Instance,
  options: { readonly isStopping: () => boolean },
): void {
  const { signal } = instance.ending;
  const tasks: Readonly<Record<string, () => Promise<void>>> = {
    members: () => instance.members.keep(signal),
    peers: () => keepPeers(createPeersParts(instance, options), signal),
    flags: () => keepFlags(instance),
    calls: () => keepCalls(instance),
  };
  for (const [name, run] of Object.entries(tasks)) {
    void keepRunning(name, run, { signal });
  }
}

/** Runs a task again after an unexpected error, so that no fault ends it for good. */
async function keepRunning(
  name: string,
  run: () => Promise<void>,
  { signal }: { readonly signal: AbortSignal },
): Promise<void> {
  while (!signal.aborted) {
    try {
      await run();
    } catch (error) {
      logEvent(daemonEvents.taskFailed, { task: name, error: String(error) });
    }
    await waitFor(restartPauseMs, signal);
  }
}

/** Follows the engines of the bundle in force and what makes them unusable. */
async function keepFlags(instance: Instance): Promise<void> {
  const { signal } = instance.ending;
  const watch = createEngineWatch(instance);
  let version = 0;
  while (!signal.aborted) {
    const view = instance.getVersion();
    if (view && view.bundle.version !== version) {
      version = view.bundle.version;
      logEvent(daemonEvents.bundleInForce, { version });
    }
    const engines = new Set(view?.engines.keys() ?? []);
    for (const engine of engines) setFlags(instance, engine);
    watch.follow(engines);
    await waitFor(flagIntervalMs, signal);
  }
  watch.stop();
}

function setFlags(instance: Instance, engine: EndpointName): void {
  const entry = instance.getVersion()?.engines.get(engine)?.engine;
  if (!entry) return;
  const state = instance.streams.control.getState();
  const order = state.orders[engine];
  instance.table.observeFlags(engine, {
    failureDomain: entry.failure_domain,
    role: order?.target.role ?? entry.role,
    draining: state.drains[engine] !== undefined,
    leaving: instance.members.isLeaving(engine),
    changing: order !== undefined && order.closed === undefined &&
      !order.fenceOnly,
  });
}

/** Settles calls that this instance or one that is gone left behind. */
async function keepCalls(instance: Instance): Promise<void> {
  const lookUp: LookUpCall = async (call) => {
    const version = instance.getVersion();
    if (!version) return undefined;
    const context = createCallContext(version, instance.serving);
    const find = (name: ServiceName): BundleService | undefined =>
      version.services.get(name);
    return await createCallLookUp(context, find)(call);
  };
  await keepCallsSettled({
    book: instance.book,
    listInstances: () =>
      Object.keys(instance.streams.control.getState().instances),
    lookUp,
    logEvent,
    signal: instance.ending.signal,
  });
}
