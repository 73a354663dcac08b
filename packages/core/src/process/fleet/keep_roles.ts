/**
 * Orders role changes until the engines of every pool have the planned roles.
 * All instances run this task; only the live instance whose name sorts first
 * gives orders, after it has claimed the duty.
 */
import { type LogEvent, logEvent, waitFor } from "../../shared/index.ts";
import {
  Effect,
  type EndpointName,
  type EngineReport,
  type EngineRole,
  type ListedEndpoint,
  OrderAnswer,
  RemoteError,
  type RoleOrder,
  type RoutedService,
} from "../../types/index.ts";
import type { Duty, DutyTerm } from "./duty.ts";
import type { EndpointTracker } from "./endpoint_tracker.ts";
import type { EndpointList } from "./endpoint_list.ts";
import { fleetEvents } from "./events.ts";
import { type PlannedRole, planRoles } from "./plan_roles.ts";

/** Requests to engines for role changes; both reject if the engine does not answer. */
export interface EngineControl {
  readonly fetchReport: (endpoint: ListedEndpoint) => Promise<EngineReport>;
  /** Rejects without effect if `mayWrite` forbids it once there is a connection to write it to. */
  readonly order: (
    order: RoleOrder,
    options: { readonly mayWrite: () => boolean },
  ) => Promise<OrderAnswer>;
}

/** Dependencies and settings of the task. */
export interface ReconcileRolesOptions {
  readonly instance: string;
  readonly duty: Duty;
  readonly control: EngineControl;
  readonly endpoints: EndpointList;
  readonly endpointTracker: EndpointTracker;
  /** Whether an engine takes only so many requests a second at present. */
  readonly isLimited: (engine: EndpointName) => boolean;
  /** Services of the active configuration; those without engines are skipped. */
  readonly listServices: () => readonly RoutedService[];
  /** Whether this instance is the one that gives orders. */
  readonly isFirst: () => boolean;
  /** Whether the list of endpoints is recent enough to plan from. */
  readonly isListFresh: () => boolean;
  /** Share of each pool's engines that should have the prefill role, from 0 to 1. */
  readonly prefillShare: number;
  readonly signal: AbortSignal;
  readonly logEvent?: LogEvent;
}

/** The running task. Routing and this instance's digests use its list of engines. */
export interface RoleReconciler {
  readonly listChanging: () => readonly ChangingEngine[];
}

/** An engine that gets no work until its role has changed. */
export interface ChangingEngine {
  readonly endpoint: string;
  readonly role: EngineRole;
  /** Time after which the change no longer counts as pending, in ms. */
  readonly leftMs: number;
}

const checkIntervalMs = 1_000;
/** Consecutive checks that must find a change necessary, at the same pool size, before it is ordered. */
const requiredChecks = 2;
/** Time after the change until the list shows the new role, in ms: the engine's heartbeat and a read of the list. */
const listLagMs = 2_500;

interface PendingChange extends PlannedRole {
  readonly untilMs: number;
}

/** Starts the task, which checks all pools once per second until the signal aborts. */
export function reconcileRoles(options: ReconcileRolesOptions): RoleReconciler {
  const log = options.logEvent ?? logEvent;
  const changing = new Map<string, PendingChange>();
  const consecutiveChecks = new Map<string, number>();

  function removeFinished(): void {
    const nowMs = performance.now();
    for (const [name, change] of changing) {
      const listed = options.endpoints.get(name);
      const done = !listed || listed.role === change.role;
      if (done || change.untilMs < nowMs) changing.delete(name);
    }
  }

  async function reconcileServiceRoles(service: RoutedService): Promise<void> {
    const listed = options.endpoints.listAccepting(service.name);
    const changes = planRoles({
      engines: listed.filter(({ name }) => !changing.has(name)),
      changing: [...changing.values()].filter(({ endpoint }) =>
        endpoint.service === service.name
      ),
      prefillShare: options.prefillShare,
      endpointTracker: options.endpointTracker,
      isLimited: options.isLimited,
    });
    const key = `${service.name} ${listed.length}`;
    if (changes.length === 0) return void consecutiveChecks.delete(key);
    const checks = (consecutiveChecks.get(key) ?? 0) + 1;
    consecutiveChecks.set(key, checks);
    if (checks < requiredChecks) return;
    consecutiveChecks.delete(key);
    await orderChanges(service, changes);
  }

  async function orderChanges(
    service: RoutedService,
    changes: readonly PlannedRole[],
  ): Promise<void> {
    for (const { endpoint, role } of changes) {
      log(fleetEvents.rolePlanned, {
        endpoint: endpoint.name,
        role,
        listed: options.endpoints.listAccepting(service.name).length,
      });
    }
    const reports = await Promise.all(
      changes.map((change) => fetchReport(change)),
    );
    const term = await options.duty.claim();
    if (!term) return;
    await Promise.all(changes.map((change, index) => {
      const report = reports[index];
      if (!report || report.changing || report.leaving) return;
      return orderChange(change, { term, report, service });
    }));
  }

  async function fetchReport(
    { endpoint }: PlannedRole,
  ): Promise<EngineReport | undefined> {
    try {
      const report = await options.control.fetchReport(endpoint);
      if (report.leaving) options.endpoints.recordLeaving(endpoint);
      return report;
    } catch (error) {
      log(fleetEvents.roleOrderFailed, {
        endpoint: endpoint.name,
        step: "report",
        error: String(error),
      });
      return undefined;
    }
  }

  async function orderChange(
    change: PlannedRole,
    { term, report, service }: {
      readonly term: DutyTerm;
      readonly report: EngineReport;
      readonly service: RoutedService;
    },
  ): Promise<void> {
    if (!term.isCurrent()) return;
    const { endpoint, role } = change;
    const untilMs = performance.now() +
      (service.engines?.roleChangeMs ?? 0) + listLagMs;
    // Recorded before the request: an order without an answer may still be
    // carried out.
    changing.set(endpoint.name, { ...change, untilMs });
    try {
      const answer = await options.control.order({
        endpoint,
        role,
        holder: options.instance,
        fence: term.fence,
        expectedOrders: report.orders,
      }, { mayWrite: () => mayOrder(endpoint, term) });
      log(fleetEvents.roleOrdered, {
        endpoint: endpoint.name,
        role,
        fence: term.fence,
        answer,
      });
      if (answer !== OrderAnswer.Accepted) changing.delete(endpoint.name);
    } catch (error) {
      if (error instanceof RemoteError && error.effect === Effect.None) {
        changing.delete(endpoint.name);
      }
      log(fleetEvents.roleOrderFailed, {
        endpoint: endpoint.name,
        step: "order",
        fence: term.fence,
        error: String(error),
      });
    }
  }

  /** Whether what the order was decided by still holds. */
  function mayOrder({ name }: ListedEndpoint, term: DutyTerm): boolean {
    const listed = options.endpoints.get(name);
    return term.isCurrent() && options.isListFresh() &&
      listed !== undefined && !listed.leaving;
  }

  async function run(): Promise<void> {
    while (!options.signal.aborted) {
      await waitFor(checkIntervalMs, options.signal);
      removeFinished();
      if (!options.isFirst() || !options.isListFresh()) {
        consecutiveChecks.clear();
        continue;
      }
      for (const service of options.listServices()) {
        if (service.engines) await reconcileServiceRoles(service);
      }
    }
  }

  void run();
  return {
    listChanging(): readonly ChangingEngine[] {
      const nowMs = performance.now();
      return [...changing.values()].map(({ endpoint, role, untilMs }) => ({
        endpoint: endpoint.name,
        role,
        leftMs: Math.max(untilMs - nowMs, 0),
      }));
    },
  };
}
