/** State and clients of one instance, created at its start and closed at its stop. */
import { randomUUID } from "node:crypto";
import { setMaxListeners } from "node:events";
import {
  type BurnCounters,
  type CallTracker,
  computeCapacity,
  type ControlState,
  createAdmission,
  createBurnCounters,
  createCallTracker,
  createEndpointLimits,
  createEndpointTable,
  createInFlightRequests,
  createMembership,
  createPromptCrashes,
  createRetryBudget,
  createSuspects,
  type EndpointLimits,
  type EndpointName,
  type EndpointTable,
  type InFlightRequests,
  type InstanceName,
  isEngineDrained,
  isTrialOwner,
  LimitStep,
  type LoadReport,
  logEvent,
  type Membership,
  membershipEvents,
  type OpenEndpointClients,
  openEndpointClients,
  openLogService,
  openMemberList,
  openWeightStore,
  parseControlState,
  type PromptCrashes,
  type ReserveWeightLoad,
  type Suspects,
} from "@trefoildoor/core";
import { openPeerClient } from "../connection/peers/index.ts";
import type { Environment, Settings } from "../settings/index.ts";
import { buildVersionView, type VersionView } from "../version/view.ts";
import { createDemandTracker, type DemandTracker } from "./demand.ts";
import { type Metrics, openMetrics } from "./metrics.ts";
import {
  createPoolHealthTracker,
  type PoolHealthTracker,
} from "./pool_health.ts";
import { isRegistered } from "./registration.ts";
import type { ServingDependencies } from "./serving.ts";
import {
  createSignatureChecks,
  followStreams,
  type Streams,
} from "./streams.ts";

const nameSuffixLength = 8;
/** Longest duration of one exchange over a working link, in ms. */
const maxExchangeTimeMs = 200;

/** Everything that the tasks and handlers of one instance share. */
export interface Instance {
  /** Name from the settings with a random suffix that differs at each start. */
  readonly name: InstanceName;
  readonly settings: Settings;
  readonly environment: Environment;
  readonly streams: Streams;
  readonly members: Membership;
  readonly clients: OpenEndpointClients;
  readonly table: EndpointTable;
  readonly suspects: Suspects;
  readonly promptCrashes: PromptCrashes;
  readonly inFlight: InFlightRequests;
  readonly limits: EndpointLimits;
  readonly demand: DemandTracker;
  readonly callTracker: CallTracker;
  readonly burn: BurnCounters;
  readonly health: PoolHealthTracker;
  readonly metrics: Metrics;
  readonly reserveWeightLoad: ReserveWeightLoad;
  /** Address at which peers reach this instance. */
  readonly peerAddress: string;
  readonly serving: ServingDependencies;
  /** Bundle in force, indexed; undefined before the first. */
  readonly getVersion: () => VersionView | undefined;
  /** Its signal ends the background tasks. */
  readonly abortController: AbortController;
  readonly close: () => Promise<void>;
}

/** Creates the instance and starts to follow its streams; peers reach it at `peerAddress`. */
export function createInstance(
  settings: Settings,
  options: { readonly environment: Environment; readonly peerAddress: string },
): Instance {
  const { environment, peerAddress } = options;
  const name = `${settings.instance}~${
    randomUUID().slice(0, nameSuffixLength)
  }`;
  const abortController = new AbortController();
  // Every task and connection adds a listener, more than Node's default limit allows.
  setMaxListeners(0, abortController.signal);
  const log = openLogService({ address: settings.platform.log });
  const memberList = openMemberList({
    address: settings.platform.members,
    onUnusable: (entry) => logEvent(membershipEvents.memberUnusable, { entry }),
  });
  const weights = openWeightStore({ address: settings.platform.weights });
  const members = createMembership(memberList.listMembers, {
    ownAddress: peerAddress,
    logEvent,
  });
  const streams = followStreams(log, {
    instance: name,
    signingKeys: settings.signing_keys,
    fetchPeerState: () => fetchPeerState(members, settings, { environment }),
  });
  const getVersion = createVersionCache(streams);
  const table = createEndpointTable({ countInstances: members.countInstances });
  const limits = createEndpointLimits({
    getNewsDelayMs: () =>
      settings.peers.exchange_interval_ms + maxExchangeTimeMs,
    countInstances: members.countInstances,
    logEvent,
  });
  const clients = openEndpointClients({
    onLoad: (engine, report) => observeLoad(engine, report, { table, limits }),
    onLimit: (name, perSecond) =>
      limits.recordAnswer({ name }, {
        perSecond,
        step: LimitStep.Call,
        succeeded: true,
      }),
    onLeaving: (endpoint) => members.recordLeaving(endpoint),
    mayWrite: members.mayWrite,
  });
  const suspects = createSuspects({ instance: name });
  const promptCrashes = createPromptCrashes({
    mayTry: (trait, sinceCrashMs) =>
      isTrialOwner(trait, {
        sinceCrashMs,
        own: peerAddress,
        others: members.listPeers().map(({ address }) => address),
      }),
    logEvent,
  });
  const inFlight = createInFlightRequests();
  const demand = createDemandTracker(name);
  const callTracker = createCallTracker(
    { stream: streams.calls, instance: name },
    abortController.signal,
  );
  const health = createPoolHealthTracker();
  const metrics = openMetrics(settings.metrics);
  const burn = createBurnCounters({
    instance: name,
    getObjectives: () => getVersion()?.bundle.objectives ?? [],
  });
  const serving: ServingDependencies = {
    completion: {
      table,
      suspects,
      promptCrashes,
      inFlight,
      limits,
      admission: createAdmission({
        getCapacity: (own) =>
          computeCapacity(table, { instances: members.countInstances(), own }),
      }),
      budget: createRetryBudget(),
      ownDomain: settings.failure_domain,
      random: Math.random,
      evidenceDelayMs: settings.peers.exchange_interval_ms + maxExchangeTimeMs,
    },
    clients,
    callTracker,
    demand,
    burn,
    health,
    metrics,
    isDraining: (engine) => isEngineDrained(streams.control.getState(), engine),
    isRegistered: () => isRegistered({ name, streams }),
    unresponsiveServices: new Set(),
    isAccepting: (endpoint) => !members.isLeaving(endpoint),
    confirmMembers: members.confirm,
  };
  return {
    name,
    settings,
    environment,
    streams,
    members,
    clients,
    table,
    suspects,
    promptCrashes,
    inFlight,
    limits,
    demand,
    callTracker,
    burn,
    health,
    metrics,
    reserveWeightLoad: weights.reserveWeightLoad,
    peerAddress,
    serving,
    getVersion,
    abortController,
    async close(): Promise<void> {
      abortController.abort();
      await streams.stop();
      metrics.close();
      await Promise.all([
        clients.close(),
        log.close(),
        memberList.close(),
        weights.close(),
      ]);
    },
  };
}

/** Applies an engine's load report, with the limit that it names; a new process of the engine has none. */
export function observeLoad(
  name: EndpointName,
  report: LoadReport,
  { table, limits }: {
    readonly table: EndpointTable;
    readonly limits: EndpointLimits;
  },
): void {
  const known = table.getView(name)?.report?.startId;
  if (!table.observeReport(name, report)) return;
  if (known !== undefined && known !== report.startId) limits.forget({ name });
  limits.recordAnswer({ name }, {
    perSecond: report.requestsPerSecond,
    step: LimitStep.Call,
    succeeded: true,
  });
}

/** Builds the view of a bundle only once, on the first read after it comes into force. */
function createVersionCache(streams: Streams): () => VersionView | undefined {
  let position = -1;
  let view: VersionView | undefined;
  return () => {
    const { bundle } = streams.control.getState();
    if (bundle && bundle.position !== position) {
      position = bundle.position;
      view = buildVersionView(bundle);
    }
    return view;
  };
}

/** Requests the control state of every listed peer and returns the one furthest in the log. */
async function fetchPeerState(
  members: Membership,
  settings: Settings,
  { environment }: { readonly environment: Environment },
): Promise<ControlState | undefined> {
  const states = await Promise.all(
    members.listPeers().map(async ({ address }) => {
      const client = openPeerClient(address, {
        settings: settings.peers,
        environment,
      });
      const state = await client.fetchControlState().catch(() => undefined);
      await client.close();
      return parseControlState(
        state,
        createSignatureChecks(settings.signing_keys),
      );
    }),
  );
  return states
    .filter((state) => state !== undefined)
    .toSorted((left, right) => right.next - left.next)[0];
}
