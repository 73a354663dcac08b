/** Steps of `keep_roles.feature`. */
import { strict as assert } from "node:assert";
import { After, Given, Then, When } from "@cucumber/cucumber";
import { pauseClock, type PausedClock } from "@trefoildoor/testing";
import {
  Effect,
  EngineRole,
  type ListedEndpoint,
  OrderAnswer,
  RemoteError,
  RemoteFailure,
  type RoleOrder,
} from "../../types/index.ts";
import {
  createEndpointList,
  createEndpointTracker,
  type EndpointList,
  planRoles,
  reconcileRoles,
  type RoleReconciler,
} from "./index.ts";

/** State of one scenario. */
interface RolesWorld {
  rolesClock?: PausedClock;
  engines: ListedEndpoint[];
  listed: EndpointList;
  reconciler: RoleReconciler;
  orders: RoleOrder[];
  isFirst: boolean;
  isListFresh: boolean;
  answering: boolean;
  changing: boolean;
  enginesLeave?: boolean;
  isDutyFree: boolean;
  isTermCurrent: boolean;
  /** What happens while a connection for an order is opened. */
  openConnection: () => Promise<void>;
  /** Engines that limit their requests. */
  limited?: ReadonlySet<string>;
  stopRoles: AbortController;
}

const service = "models";
const roleChangeMs = 3_000;

After(function (this: RolesWorld): void {
  this.stopRoles?.abort();
  this.rolesClock?.uninstall();
});

function buildEngine(name: string, role: EngineRole): ListedEndpoint {
  return {
    name,
    service,
    address: `address of ${name}`,
    failureDomain: "sapporo",
    slots: 64,
    leaving: false,
    role,
    startedAtMs: 1,
  };
}

function applyEngines(world: RolesWorld): void {
  world.listed.apply({
    records: world.engines.map((value, offset) => ({
      key: value.name,
      value,
      offset,
    })),
    next: world.engines.length,
    whole: true,
  });
}

Given(
  "a pool with {int} prefill and {int} decode engines",
  function (this: RolesWorld, prefill: number, decode: number): void {
    const build = (count: number, role: EngineRole): ListedEndpoint[] =>
      Array.from(
        { length: count },
        (_, index) => buildEngine(`${role[0]}${index + 1}`, role),
      );
    this.engines = [
      ...build(prefill, EngineRole.Prefill),
      ...build(decode, EngineRole.Decode),
    ];
  },
);

Given("engines report that they leave", function (this: RolesWorld): void {
  this.enginesLeave = true;
});

Then("the engine {string} takes no work", function (
  this: RolesWorld,
  name: string,
): void {
  const accepting = this.listed.listAccepting(service);
  assert.ok(!accepting.some((each) => each.name === name));
});

Given(
  "an instance that keeps a share of {float}",
  function (this: RolesWorld, prefillShare: number): void {
    this.rolesClock = pauseClock();
    this.orders = [];
    this.isFirst = true;
    this.isListFresh = true;
    this.answering = true;
    this.changing = false;
    this.isDutyFree = true;
    this.isTermCurrent = true;
    this.openConnection = () => Promise.resolve();
    this.stopRoles = new AbortController();
    this.listed = createEndpointList({
      getSinceRecoveryMs: () => Infinity,
      logEvent: () => undefined,
    });
    applyEngines(this);
    let fence = 0;
    this.reconciler = reconcileRoles({
      instance: "a",
      isLimited: () => false,
      duty: {
        claim: () => {
          if (!this.isDutyFree) return Promise.resolve(undefined);
          fence += 1;
          return Promise.resolve({
            fence,
            isCurrent: () => this.isTermCurrent,
          });
        },
      },
      control: {
        fetchReport: () =>
          Promise.resolve({
            role: EngineRole.Decode,
            changing: this.changing,
            orders: 0,
            running: 0,
            waiting: 0,
            leaving: this.enginesLeave,
          }),
        order: async (order, { mayWrite }) => {
          await this.openConnection();
          if (!mayWrite()) {
            throw new RemoteError("not written", {
              failure: RemoteFailure.Refused,
              effect: Effect.None,
            });
          }
          this.orders.push(order);
          if (this.answering) return OrderAnswer.Accepted;
          throw new RemoteError("no answer", {
            failure: RemoteFailure.Timeout,
            effect: Effect.Unknown,
          });
        },
      },
      endpoints: this.listed,
      endpointTracker: createEndpointTracker({ logEvent: () => undefined }),
      listServices: () => [{
        name: service,
        engines: { exportTtlMs: 1, roleChangeMs },
      }],
      isFirst: () => this.isFirst,
      isListFresh: () => this.isListFresh,
      prefillShare,
      signal: this.stopRoles.signal,
      logEvent: () => undefined,
    });
  },
);

Given("another instance comes first", function (this: RolesWorld): void {
  this.isFirst = false;
});

Given("the list is stale", function (this: RolesWorld): void {
  this.isListFresh = false;
});

Given("engines leave orders unanswered", function (this: RolesWorld): void {
  this.answering = false;
});

Given("engines report that they change", function (this: RolesWorld): void {
  this.changing = true;
});

Given("the duty cannot be claimed", function (this: RolesWorld): void {
  this.isDutyFree = false;
});

Given(
  /^connections to engines take (\d+) ms, in which (.+)$/,
  function (this: RolesWorld, ms: string, what: string): void {
    this.openConnection = async () => {
      await new Promise((resolve) => setTimeout(resolve, Number(ms)));
      if (what === "the term has ended") this.isTermCurrent = false;
      if (what === "the list is outdated") this.isListFresh = false;
      if (what !== "the engine leaves") return;
      this.engines = this.engines.map((engine) => ({
        ...engine,
        leaving: true,
      }));
      applyEngines(this);
    };
  },
);

When(
  "{int} ms pass for the roles",
  async function (this: RolesWorld, ms: number): Promise<void> {
    await this.rolesClock?.tickAsync(ms);
  },
);

When("the list shows the ordered roles", function (this: RolesWorld): void {
  this.engines = this.engines.map((engine) => {
    const order = this.orders.find(({ endpoint }) =>
      endpoint.name === engine.name
    );
    return order ? { ...engine, role: order.role } : engine;
  });
  applyEngines(this);
});

Given(
  "the software version of {string} is another one",
  function (this: RolesWorld, names: string): void {
    const others = names.split(", ");
    this.engines = this.engines.map((engine) => ({
      ...engine,
      softwareVersion: others.includes(engine.name) ? "v2" : "v1",
    }));
  },
);

Given(
  "{string} limit their requests",
  function (this: RolesWorld, names: string): void {
    this.limited = new Set(names.split(", "));
  },
);

Then(
  "with a share of {float} the plan is {string}",
  function (this: RolesWorld, prefillShare: number, expected: string): void {
    const plan = planRoles({
      engines: this.engines,
      changing: [],
      prefillShare,
      endpointTracker: createEndpointTracker({ logEvent: () => undefined }),
      isLimited: (engine) => this.limited?.has(engine) ?? false,
    });
    const text = plan.map(({ endpoint, role }) =>
      `${endpoint.name} to ${role}`
    );
    assert.equal(text.join(", "), expected);
  },
);

Then(
  "the orders are {string}",
  function (this: RolesWorld, expected: string): void {
    const text = this.orders.map(({ endpoint, role, fence }) =>
      `${endpoint.name} ${role} ${fence}`
    );
    assert.equal(text.join(", "), expected);
  },
);

Then(
  "the engines that change are {string}",
  function (this: RolesWorld, expected: string): void {
    const names = this.reconciler.listChanging().map(({ endpoint }) =>
      endpoint
    );
    assert.equal(names.join(", "), expected);
  },
);
