/** Background tasks of one instance. */
import {
  type BundleService,
  confirmDrains,
  createCallLookUp,
  createEndpointWatch,
  createOwnOrders,
  type EndpointName,
  type EndpointWatchOptions,
  isEngineDrained,
  logEvent,
  ProbeKind,
  recordEngineCrash,
  type ServiceName,
  type SettleCallsOptions,
  settleOrphanedCalls,
  waitFor,
  type WatchedEndpoint,
  writeBurnSummaries,
} from "@trefoildoor/core";
import { exchangeWithPeers } from "../connection/peers/index.ts";
import { daemonEvents } from "../events.ts";
import { createPeersDependencies } from "./exchange.ts";
import { type Instance, observeLoad } from "./instance.ts";
import type { VersionView } from "../version/view.ts";
import type { InstanceGauges } from "./metrics.ts";
import { runPools } from "./pools.ts";
import { maintainRegistration } from "./registration.ts";
import { createCallContext } from "./serving.ts";

type LookUpCall = SettleCallsOptions["lookUp"];

const flagIntervalMs = 200;
const restartDelayMs = 1_000;

/** Runs all tasks; resolves once all have ended after the instance's signal aborts. */
export async function runTasks(
  instance: Instance,
  options: {
    readonly isStopping: () => boolean;
    readonly readGauges: () => InstanceGauges;
  },
): Promise<void> {
  const { signal } = instance.abortController;
  const own = createOwnOrders();
  const tasks: Readonly<Record<string, () => Promise<void>>> = {
    members: () => instance.members.keep(signal),
    peers: () =>
      exchangeWithPeers(createPeersDependencies(instance, options), signal),
    registration: () => maintainRegistration(instance),
    flags: () => updateFlags(instance),
    calls: () => settleCalls(instance),
    burn: () => reportBurn(instance),
    drains: () => confirmOwnDrains(instance),
    pools: () => runPools(instance, { ...options, own }),
    gauges: () => instance.metrics.reportGauges(options.readGauges, signal),
  };
  const running = Object.entries(tasks).map(([name, run]) =>
    runWithRestarts(name, run, { signal })
  );
  await Promise.all(running);
}

/** Runs a task again after an unexpected error, so that one error doesn't end it permanently. */
async function runWithRestarts(
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
    await waitFor(restartDelayMs, signal);
  }
}

/** Probes the endpoints of the bundle in force and updates the flags that make them unusable. */
async function updateFlags(instance: Instance): Promise<void> {
  const { signal } = instance.abortController;
  const watch = createEndpointWatch(createWatchOptions(instance));
  let version = 0;
  while (!signal.aborted) {
    const view = instance.getVersion();
    if (view && view.bundle.version !== version) {
      version = view.bundle.version;
      logEvent(daemonEvents.bundleInForce, { version });
    }
    for (const engine of view?.engines.keys() ?? []) setFlags(instance, engine);
    watch.follow(view ? listWatched(view) : []);
    await waitFor(flagIntervalMs, signal);
  }
  watch.stop();
}

function createWatchOptions(instance: Instance): EndpointWatchOptions {
  const { table, members, clients } = instance;
  const { unresponsiveServices: silentServices } = instance.serving;
  return {
    logEvent,
    openProbe: (watched) => clients.openProbe(watched, watched.kind),
    onReport: (engine, report) => observeLoad(engine, report, instance),
    onLeaving: (endpoint, leaving) => members.recordLeaving(endpoint, leaving),
    onUnresponsive: (endpoint, unresponsive) => {
      if (table.getView(endpoint)) table.setFlags(endpoint, { unresponsive });
      else if (unresponsive) silentServices.add(endpoint);
      else silentServices.delete(endpoint);
    },
    onCrash: (endpoint, startId) => {
      // A service that announced that it leaves may end with calls in flight.
      const isService = table.getView(endpoint) === undefined;
      if (isService && members.isLeaving(endpoint)) return;
      if (!isService) return recordEngineCrash(endpoint, instance, { startId });
      const suspects = instance.inFlight.listSuspects(endpoint);
      instance.promptCrashes.recordCrash(endpoint, suspects, { startId });
    },
    onRemoved: (endpoint) => {
      table.removeEngine(endpoint);
      instance.limits.forget({ name: endpoint });
      silentServices.delete(endpoint);
      void clients.closeEndpoint(endpoint);
    },
  };
}

function listWatched(view: VersionView): readonly WatchedEndpoint[] {
  const engines = [...view.engines.values()].map(({ engine }) => ({
    endpoint: engine.name,
    address: engine.address,
    kind: ProbeKind.Load,
  }));
  const services = [...view.services.values()].flatMap((service) =>
    service.endpoints.map(({ name, address }) => ({
      endpoint: name,
      address,
      kind: ProbeKind.Ping,
    }))
  );
  return [...engines, ...services];
}

function setFlags(instance: Instance, engine: EndpointName): void {
  const entry = instance.getVersion()?.engines.get(engine)?.engine;
  if (!entry) return;
  const state = instance.streams.control.getState();
  const order = state.orders[engine];
  const isOpen = order !== undefined && order.closed === undefined;
  instance.table.setFlags(engine, {
    failureDomain: entry.failure_domain,
    role: order?.target.role ?? entry.role,
    draining: isEngineDrained(state, engine),
    leaving: instance.members.isLeaving(engine),
    changing: isOpen && !order.fenceOnly,
  });
}

/** Writes service-level summaries until the instance ends. */
async function reportBurn(instance: Instance): Promise<void> {
  await writeBurnSummaries({
    counters: instance.burn,
    append: instance.streams.burn.append,
    signal: instance.abortController.signal,
  });
}

/** Confirms a drain once this instance has no requests in flight at its engine. */
async function confirmOwnDrains(instance: Instance): Promise<void> {
  await confirmDrains({
    instance: instance.name,
    stream: instance.streams.control,
    countInFlight: instance.inFlight.count,
    signal: instance.abortController.signal,
  });
}

/** Settles calls left open by this instance or by instances that have stopped. */
async function settleCalls(instance: Instance): Promise<void> {
  const lookUp: LookUpCall = async (call) => {
    const version = instance.getVersion();
    if (!version) return undefined;
    const context = createCallContext(version, instance.serving);
    const find = (name: ServiceName): BundleService | undefined =>
      version.services.get(name);
    return await createCallLookUp(context, find)(call);
  };
  await settleOrphanedCalls({
    callTracker: instance.callTracker,
    listInstances: () =>
      Object.keys(instance.streams.control.getState().instances),
    lookUp,
    logEvent,
    signal: instance.abortController.signal,
  });
}
