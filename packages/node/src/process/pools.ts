/** Runs one lease and one task for each pool of the bundle in force. */
import {
  createPlanner,
  type LeaseHandle,
  logEvent,
  maintainLease,
  type OwnOrders,
  type PlannerEngine,
  type PoolName,
  reconcilePool,
  recordStoppedInstances,
  settleOwnOrders,
  waitFor,
} from "@trefoildoor/core";
import type { Instance } from "./instance.ts";

const followIntervalMs = 500;
/** Above this age, in ms, the member list isn't used to detect stopped instances. */
const maxListAgeMs = 2_000;

interface PoolTask {
  readonly lease: LeaseHandle;
  readonly abortController: AbortController;
  readonly done: Promise<void>;
}

/** Runs the tasks of the pools until the instance ends, then releases their leases. */
export async function runPools(
  instance: Instance,
  options: {
    /** Orders sent by this process; they outlast a restart of this task. */
    readonly own: OwnOrders;
    readonly isStopping: () => boolean;
  },
): Promise<void> {
  const { own } = options;
  const { signal } = instance.abortController;
  const tasks = new Map<PoolName, PoolTask>();
  const shared = {
    instance: instance.name,
    stream: instance.streams.control,
    logEvent,
    signal,
  };
  const housekeeping = [
    settleOwnOrders({ ...shared, own }),
    recordStoppedInstances({
      ...shared,
      listInstances: () => listInstances(instance),
      isResponsible: () =>
        [...tasks.values()].some(({ lease }) => lease.isHeld()),
    }),
  ];
  const followPools = (): void => {
    const view = instance.getVersion();
    const wanted = new Set(view?.bundle.pools.map(({ name }) => name));
    for (const [pool, task] of tasks) {
      if (wanted.has(pool)) continue;
      tasks.delete(pool);
      void stopTask(task);
    }
    for (const pool of wanted) {
      if (tasks.has(pool)) continue;
      tasks.set(pool, startTask(pool, instance, options));
    }
  };
  try {
    while (!signal.aborted) {
      followPools();
      await waitFor(followIntervalMs, signal);
    }
  } finally {
    // Otherwise a restart of this task could lead to two leaders of one pool.
    await Promise.all([...tasks.values()].map(stopTask));
  }
  await Promise.all(housekeeping);
}

function startTask(
  pool: PoolName,
  instance: Instance,
  options: { readonly own: OwnOrders; readonly isStopping: () => boolean },
): PoolTask {
  const abortController = new AbortController();
  const stream = instance.streams.control;
  const lease = maintainLease({
    pool,
    instance: instance.name,
    stream,
    leaseTimeMs: instance.settings.lease.time_ms,
    mayClaim: () => !options.isStopping(),
    logEvent,
  });
  const done = reconcilePool({
    pool,
    instance: instance.name,
    stream,
    lease,
    own: options.own,
    openEngine: ({ name, address }) =>
      instance.clients.openEngine(name, address),
    reserveWeightLoad: instance.reserveWeightLoad,
    planRoles: createPlanner(),
    listEngines: () => listPlannerEngines(pool, instance),
    listDemand: () => instance.demand.listSamples(pool),
    measureHealth: () => instance.health.read(pool),
    logEvent,
    signal: abortController.signal,
  });
  return { lease, abortController, done };
}

/** Waits for the pool's task to end before releasing the lease that it depends on. */
async function stopTask(task: PoolTask): Promise<void> {
  task.abortController.abort();
  await task.done;
  await task.lease.stop();
}

function listPlannerEngines(
  pool: PoolName,
  instance: Instance,
): readonly PlannerEngine[] {
  const found = instance.getVersion()?.bundle.pools
    .find(({ name }) => name === pool);
  return (found?.engines ?? []).map((engine) => {
    const view = instance.table.getView(engine.name);
    return {
      name: engine.name,
      failureDomain: engine.failure_domain,
      role: view?.role ?? engine.role,
      ready: view?.usable ?? false,
      report: view?.report,
      reportAgeMs: view?.reportAgeMs ?? Infinity,
    };
  });
}

/** Names of the instances whose address is on the platform's member list; undefined while the list is stale. */
function listInstances(instance: Instance): readonly string[] | undefined {
  if (instance.members.getAgeMs() > maxListAgeMs) return undefined;
  const addresses = new Set([
    instance.peerAddress,
    ...instance.members.listPeers().map(({ address }) => address),
  ]);
  return Object.values(instance.streams.control.getState().instances)
    .filter(({ peerAddress }) => addresses.has(peerAddress))
    .map((entry) => entry.instance);
}
