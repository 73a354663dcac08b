/** Commands that show the running fleet. */
import {
  type ControlState,
  type Member,
  type MemberState,
  RolloutProgress,
} from "@trefoildoor/core";
import type { Command } from "../command.ts";
import { ExitCode } from "../exit_codes.ts";
import { readControl, withFleet } from "../fleet.ts";
import { printResult, renderTable } from "../output.ts";
import { listOrders } from "../views/describe_orders.ts";
import { getEngineProgress, listRollout } from "../views/describe_rollout.ts";

/** Lists the system's own processes. */
export const showInstances: Command = {
  usage: "instances",
  description: "List the system's own processes with the leases they hold",
  run: (call) =>
    withFleet(call, async (fleet) => {
      const state = (await fleet.followControl()).getState();
      const data = listInstances(state, await fleet.findMembers());
      const text = renderTable({
        columns: ["instance", "failure domain", "peers at", "listed", "leases"],
        rows: data.map((row) => [
          row.instance,
          row.failureDomain,
          row.peerAddress,
          row.listed,
          row.leases.join(", "),
        ]),
        empty: "no instance has started",
      });
      printResult(call, { data, text });
      return ExitCode.Done;
    }),
};

/** Lists engines and service processes. */
export const showEndpoints: Command = {
  usage: "endpoints",
  description: "List engines and services with their state",
  run: (call) =>
    withFleet(call, async (fleet) => {
      const state = (await fleet.followControl()).getState();
      const data = listEndpoints(state, await fleet.findMembers());
      const text = renderTable({
        columns: [
          "endpoint",
          "of",
          "failure domain",
          "address",
          "listed",
          "role",
          "progress",
        ],
        rows: data.map((row) => [
          row.endpoint,
          row.of,
          row.failureDomain,
          row.address,
          row.listed,
          row.role,
          row.progress,
        ]),
        empty: "no bundle is in force",
      });
      printResult(call, { data, text });
      return ExitCode.Done;
    }),
};

/** Lists orders to engines. */
export const showOrders: Command = {
  usage: "orders",
  description: "List drains and orders that are open or wait, and why",
  options: { "--all": "Include the newest finished order of each engine" },
  run: async (call) => {
    const state = await readControl(call);
    const data = listOrders(state, call.flags);
    const text = renderTable({
      columns: ["engine", "pool", "stage", "order", "sender", "target", "why"],
      rows: data.map((row) => [
        row.engine,
        row.pool,
        row.stage,
        row.order,
        row.sender,
        row.target,
        row.reason,
      ]),
      empty: "no order is open",
    });
    printResult(call, { data, text });
    return ExitCode.Done;
  },
};

/** Shows how far the bundle in force is. */
export const showRollout: Command = {
  usage: "rollout",
  description: "Show how far the bundle in force is, by failure domain",
  run: async (call) => {
    const data = listRollout(await readControl(call));
    const text = renderTable({
      columns: ["pool", "failure domain", "engines", ...progressColumns],
      rows: data.map((row) => [
        row.pool,
        row.failureDomain,
        row.engines,
        ...progressColumns.map((name) => row.progress[name]),
      ]),
      empty: "no bundle is in force",
    });
    const halts = new Map(data.map(({ pool, halted }) => [pool, halted]));
    const lines = [...halts].flatMap(([pool, reason]) =>
      reason === undefined ? [] : [
        `pool ${pool} is halted: ${reason}`,
        `roll back, or go on with: trefoildoorctl rollout resume ${pool}`,
      ]
    );
    printResult(call, { data, text: [text, ...lines].join("\n") });
    return ExitCode.Done;
  },
};

const progressColumns = Object.values(RolloutProgress);

/** One process of the system. */
interface InstanceRow {
  readonly instance: string;
  readonly failureDomain: string;
  readonly peerAddress: string;
  /** State in the platform's list; absent when the list does not name it. */
  readonly listed?: MemberState;
  readonly leases: readonly string[];
}

function listInstances(
  state: ControlState,
  members: readonly Member[] | undefined,
): readonly InstanceRow[] {
  return Object.values(state.instances).map((entry) => ({
    instance: entry.instance,
    failureDomain: entry.failureDomain,
    peerAddress: entry.peerAddress,
    ...getListed(members, entry.instance),
    leases: Object.values(state.leases)
      .filter((lease) => lease.holder === entry.instance && !lease.released)
      .map(({ pool }) => pool),
  }));
}

/** One engine or service process. */
interface EndpointRow {
  readonly endpoint: string;
  /** Pool or service. */
  readonly of: string;
  readonly failureDomain: string;
  readonly address: string;
  readonly listed?: MemberState;
  /** Role by the newest order, else the one the bundle starts it in. */
  readonly role?: string;
  readonly progress?: RolloutProgress;
}

function listEndpoints(
  state: ControlState,
  members: readonly Member[] | undefined,
): readonly EndpointRow[] {
  const bundle = state.bundle?.signed.bundle;
  const engines = (bundle?.pools ?? []).flatMap((pool) =>
    pool.engines.map((engine) => ({
      endpoint: engine.name,
      of: pool.name,
      failureDomain: engine.failure_domain,
      address: engine.address,
      ...getListed(members, engine.name),
      role: state.orders[engine.name]?.target.role ?? engine.role,
      progress: getEngineProgress(state, engine.name),
    }))
  );
  const services = (bundle?.services ?? []).flatMap((service) =>
    service.endpoints.map((endpoint) => ({
      endpoint: endpoint.name,
      of: service.name,
      failureDomain: endpoint.failure_domain,
      address: endpoint.address,
      ...getListed(members, endpoint.name),
    }))
  );
  return [...engines, ...services];
}

function getListed(
  members: readonly Member[] | undefined,
  name: string,
): { readonly listed?: MemberState } {
  const member = members?.find((candidate) => candidate.name === name);
  return member ? { listed: member.state } : {};
}
