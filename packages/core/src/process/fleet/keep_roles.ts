/**
 * Brings the engines of every pool to the planned roles. All instances run
 * this task; the first live one by name acts, under a claimed duty.
 */
import { type LogEvent, logEvent, waitFor } from "../../shared/index.ts";
import {
  type EngineReport,
  type EngineRole,
  type ListedEndpoint,
  OrderAnswer,
  type RoleOrder,
  type RoutedService,
} from "../../types/index.ts";
import type { Duty, DutyTerm } from "./duty.ts";
import type { EndpointBoard } from "./endpoint_board.ts";
import type { EndpointList } from "./endpoint_list.ts";
import { fleetEvents } from "./events.ts";
import { type PlannedRole, planRoles } from "./plan_roles.ts";

/** Calls to engines that role changes need. */
export interface EngineControl {
  readonly fetchReport: (endpoint: ListedEndpoint) => Promise<EngineReport>;
  readonly order: (order: RoleOrder) => Promise<OrderAnswer>;
}

/** Settings of the task. */
export interface KeepRolesOptions {
  readonly instance: string;
  readonly duty: Duty;
  readonly control: EngineControl;
  readonly endpoints: EndpointList;
  readonly board: EndpointBoard;
  /** Services of the configuration in force. */
  readonly listServices: () => readonly RoutedService[];
  /** Whether this instance is the one to act. */
  readonly isFirst: () => boolean;
  /** Whether the list of endpoints is fresh enough to act on. */
  readonly isListFresh: () => boolean;
  readonly prefillShare: number;
  readonly signal: AbortSignal;
  readonly logEvent?: LogEvent;
}

/** Engines that change their role, for routing and for other instances. */
export interface RoleKeeper {
  readonly listChanging: () => readonly ChangingEngine[];
}

/** An engine that takes no work until its role has changed. */
export interface ChangingEngine {
  readonly endpoint: string;
  readonly role: EngineRole;
  readonly leftMs: number;
}

const checkMs = 1_000;
/** Checks in a row that must want the same before anything is ordered. */
const settledChecks = 2;
/** Time besides the change itself until the list shows the new role, in ms: beats and reads. */
const listLagMs = 2_500;

interface OpenChange extends PlannedRole {
  readonly untilMs: number;
}

/** Starts the task. */
export function keepRoles(options: KeepRolesOptions): RoleKeeper {
  const log = options.logEvent ?? logEvent;
  const changing = new Map<string, OpenChange>();
  const wantedFor = new Map<string, number>();

  function removeEnded(): void {
    const nowMs = performance.now();
    for (const [name, change] of changing) {
      const listed = options.endpoints.get(name);
      const done = !listed || listed.role === change.role;
      if (done || change.untilMs < nowMs) changing.delete(name);
    }
  }

  async function keepPool(service: RoutedService): Promise<void> {
    const listed = options.endpoints.listTaking(service.name);
    const changes = planRoles({
      engines: listed.filter(({ name }) => !changing.has(name)),
      changing: [...changing.values()].filter(({ endpoint }) =>
        endpoint.service === service.name
      ),
      prefillShare: options.prefillShare,
      board: options.board,
    });
    const key = `${service.name} ${listed.length}`;
    if (changes.length === 0) return void wantedFor.delete(key);
    const checks = (wantedFor.get(key) ?? 0) + 1;
    wantedFor.set(key, checks);
    if (checks < settledChecks) return;
    wantedFor.delete(key);
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
        listed: options.endpoints.listTaking(service.name).length,
      });
    }
    const reports = await Promise.all(
      changes.map((change) => fetchReport(change)),
    );
    const term = await options.duty.claim();
    if (!term) return;
    await Promise.all(changes.map((change, index) => {
      const report = reports[index];
      if (!report || report.changing) return;
      return orderChange(change, { term, report, service });
    }));
  }

  async function fetchReport(
    { endpoint }: PlannedRole,
  ): Promise<EngineReport | undefined> {
    try {
      return await options.control.fetchReport(endpoint);
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
    // An order without an answer may still be carried out.
    changing.set(endpoint.name, { ...change, untilMs });
    try {
      const answer = await options.control.order({
        endpoint,
        role,
        holder: options.instance,
        fence: term.fence,
        expectedOrders: report.orders,
      });
      log(fleetEvents.roleOrdered, {
        endpoint: endpoint.name,
        role,
        fence: term.fence,
        answer,
      });
      if (answer !== OrderAnswer.Accepted) changing.delete(endpoint.name);
    } catch (error) {
      log(fleetEvents.roleOrderFailed, {
        endpoint: endpoint.name,
        step: "order",
        fence: term.fence,
        error: String(error),
      });
    }
  }

  async function run(): Promise<void> {
    while (!options.signal.aborted) {
      await waitFor(checkMs, options.signal);
      removeEnded();
      if (!options.isFirst() || !options.isListFresh()) {
        wantedFor.clear();
        continue;
      }
      for (const service of options.listServices()) {
        if (service.engines) await keepPool(service);
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
