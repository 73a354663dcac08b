/** Steps of `scaling.feature`. */
import { strict as assert } from "node:assert";
import { After, Given, Then, When } from "@cucumber/cucumber";
import { pauseClock, type PausedClock } from "@trefoildoor/testing";
import {
  Effect,
  type EndpointOrder,
  type ListedEndpoint,
  OperatorAnswer,
  type OperatorRecord,
  RemoteError,
  RemoteFailure,
  type ScalingLimits,
} from "../../types/index.ts";
import type { OfferedWork } from "../activity/index.ts";
import { createPause, type Pause } from "../operator/index.ts";
import {
  countLeastRegular,
  countWithLoss,
  createScaler,
  type DomainEndpoints,
  estimateNeed,
  type NeedOptions,
  planEndpoints,
  type PlannedEndpoints,
  type PlanOptions,
  type Scaler,
  type ServiceSample,
} from "./index.ts";

/** State of one scenario. */
export interface ScalingWorld {
  scalingClock?: PausedClock;
  ability: NeedOptions;
  need: ReturnType<typeof estimateNeed>;
  plan: readonly PlannedEndpoints[];
  endpoints: ListedEndpoint[];
  scaler: Scaler;
  orders: (EndpointOrder & { readonly atMs: number })[];
  work: OfferedWork;
  openCalls: number;
  dry: Set<string>;
  lost: number;
  /** Whether orders for fewer get lost. */
  losesFewer: boolean;
  isHolder: boolean;
  /** Whether the counters of all instances are known. */
  isWhole: boolean;
  limits: ScalingLimits;
  pause: Pause;
  /** Most endpoints of both kinds that orders have asked for in one domain. */
  mostOrdered: number;
  /** Difference between the endpoints and the need, at its least. */
  spare: number;
  fewest: number;
  /** Most endpoints that left within half a second. */
  mostLeft: number;
  /** Record of the newest claim, and name of the instance that claims. */
  record: OperatorRecord | undefined;
  holder: string;
}

const domains = ["a", "b", "c", "d"];
const bootMs = 4_000;
const drainMs = 1_000;
const tokensPerMs = 60;
const prefillShare = 0.75;
/** Goal and prompts of the load: an engine may compute for four fifths of its time. */
const goalMs = 500;
const promptTokens = 1_000;
const use = 0.8;
const noWork: OfferedWork = {
  calls: 0,
  refused: 0,
  promptTokens: 0,
  missingTokens: 0,
  missingSquares: 0,
  outputTokens: 0,
};
/** Limits of the service, of which scenarios change some. */
export const limits: ScalingLimits = {
  minEndpoints: 1,
  maxEndpoints: 49,
  bootMs,
  reclaimablePrice: 0.22,
  domainPrices: { a: 0.8, b: 0.9, c: 1, d: 1.25 },
};

After(function (this: ScalingWorld): void {
  this.scalingClock?.uninstall();
});

Given(
  /^a service whose engines compute (\d+) tokens a ms and ([\d.]+) of them compute prompts$/,
  function (this: ScalingWorld, speed: string, share: string): void {
    this.ability = {
      tokensPerMs: Number(speed),
      slots: 48,
      prefillShare: Number(share),
      goalMs: Infinity,
    };
  },
);

Given("the goal is {int} ms", function (
  this: ScalingWorld,
  goalMs: number,
): void {
  this.ability = { ...this.ability, goalMs };
});

When(
  "{int} prompt tokens a ms are missing in prompts of {int} tokens for {int} s and {int} calls are open",
  function (
    this: ScalingWorld,
    missing: number,
    prompt: number,
    seconds: number,
    openCalls: number,
  ): void {
    const samples: ServiceSample[] = [];
    for (let atMs = 0; atMs <= seconds * 1_000; atMs += 1_000) {
      samples.push({
        atMs,
        openCalls,
        work: {
          ...noWork,
          calls: openCalls * atMs,
          missingTokens: missing * atMs,
          missingSquares: missing * prompt * atMs,
        },
      });
    }
    this.need = estimateNeed(samples, this.ability);
  },
);

Then(
  "{int} engines are wanted",
  function (this: ScalingWorld, wanted: number): void {
    assert.equal(this.need, wanted);
  },
);

Then("no need is known", function (this: ScalingWorld): void {
  assert.equal(this.need, undefined);
});

Then("there is no load", function (this: ScalingWorld): void {
  assert.equal(this.need, 0);
});

/** Domains without endpoints, of which the first ones have no reclaimable ones. */
export function buildDomains(dry: number): readonly DomainEndpoints[] {
  return domains.map((failureDomain, index) => ({
    failureDomain,
    regular: 0,
    reclaimable: 0,
    isDry: index < dry,
  }));
}

/** Plans a number of endpoints so that enough are left after a loss. */
export function planNeeded(
  needed: number,
  options: PlanOptions,
): readonly PlannedEndpoints[] {
  const total = countWithLoss(needed, options);
  const regular = countLeastRegular(total, options);
  return planEndpoints({ total, regular, needed }, options);
}

When(
  "{int} endpoints are needed, with at most {int} in each of 4 domains and {int} of them dry",
  function (
    this: ScalingWorld,
    needed: number,
    maxEndpoints: number,
    dry: number,
  ): void {
    this.plan = planNeeded(needed, {
      limits: { ...limits, maxEndpoints },
      domains: buildDomains(dry),
    });
  },
);

When(
  "{int} endpoints are wanted in 4 domains that need {int} each and offer no reclaimable ones",
  function (this: ScalingWorld, total: number, minEndpoints: number): void {
    this.plan = planEndpoints(
      { total, regular: total, needed: total },
      {
        limits: { ...limits, minEndpoints, reclaimablePrice: undefined },
        domains: buildDomains(0),
      },
    );
  },
);

Then("the plan is {string}", function (this: ScalingWorld, plan: string): void {
  const text = this.plan.map((each) => `${each.regular}+${each.reclaimable}`);
  assert.equal(text.join(", "), plan);
});

let names = 0;

function buildEndpoint(
  failureDomain: string,
  { reclaimable }: { readonly reclaimable: boolean },
): ListedEndpoint {
  names += 1;
  return {
    name: `e${names}`,
    service: "models",
    address: "10.0.0.1:1",
    failureDomain,
    slots: 48,
    leaving: false,
    reclaimable: reclaimable || undefined,
  };
}

function countPresent(
  { endpoints }: ScalingWorld,
  { failureDomain, reclaimable }: EndpointOrder,
): number {
  return endpoints.filter((each) =>
    each.failureDomain === failureDomain &&
    (each.reclaimable ?? false) === reclaimable
  ).length;
}

/** Carries an order out as a platform would: new endpoints after a boot, others leave. */
function applyOrder(world: ScalingWorld, order: EndpointOrder): void {
  const { failureDomain, count, reclaimable } = order;
  const present = world.endpoints.filter((each) =>
    each.failureDomain === failureDomain &&
    (each.reclaimable ?? false) === reclaimable
  );
  const leaving = new Set(present.slice(count));
  const others =
    world.endpoints.filter((each) => each.failureDomain === failureDomain)
      .length - present.length;
  if (count > present.length) {
    world.mostOrdered = Math.max(world.mostOrdered, count + others);
  }
  setTimeout(() => {
    world.endpoints = world.endpoints.filter((each) => !leaving.has(each));
  }, drainMs);
  for (let each = present.length; each < count; each++) {
    setTimeout(() => {
      world.endpoints.push(buildEndpoint(failureDomain, { reclaimable }));
    }, bootMs);
  }
}

Given("a fleet of {int} endpoints in each of 4 domains", function (
  this: ScalingWorld,
  count: number,
): void {
  this.scalingClock = pauseClock();
  this.endpoints = domains.flatMap((domain) =>
    Array.from(
      { length: count },
      () => buildEndpoint(domain, { reclaimable: false }),
    )
  );
  this.orders = [];
  this.work = noWork;
  this.openCalls = 0;
  this.dry = new Set();
  this.lost = 0;
  this.losesFewer = false;
  this.isHolder = true;
  this.isWhole = true;
  this.limits = limits;
  this.mostOrdered = 0;
  this.spare = Infinity;
  this.fewest = Infinity;
  this.mostLeft = 0;
  this.record = undefined;
  this.holder = "i1";
  this.pause = createPause();
  startScaler(this);
});

/** Starts an instance that has ordered nothing. */
export function startScaler(world: ScalingWorld): void {
  world.scaler = createScaler({
    duty: {
      claim: (build) => {
        if (!world.isHolder) return Promise.resolve(undefined);
        const fence = world.record?.holder === world.holder
          ? world.record.fence
          : (world.record?.fence ?? 0) + 1;
        const stamp = { holder: world.holder, fence, era: 0 };
        const claim = build?.(stamp, world.record) ?? { ...stamp, reports: [] };
        world.record = claim;
        return Promise.resolve({ fence, claim, isCurrent: () => true });
      },
      observe: () => Promise.resolve(true),
      dropFence: () => undefined,
    },
    api: { orderEndpoints: (order) => answerOrder(world, order) },
    listServices: () => [{ name: "models", scaling: world.limits }],
    listEndpoints: () => world.endpoints,
    mayOrder: () => world.isWhole,
    takeSample: () => ({
      atMs: performance.now(),
      work: world.work,
      openCalls: world.openCalls,
    }),
    getAbility: () => ({ tokensPerMs, slots: 48, prefillShare, goalMs }),
    pause: world.pause,
    logEvent: () => undefined,
  });
}

function answerOrder(
  world: ScalingWorld,
  order: EndpointOrder,
): Promise<OperatorAnswer> {
  world.orders.push({ ...order, atMs: performance.now() });
  const isLost = world.lost > 0 ||
    (world.losesFewer && order.count < countPresent(world, order));
  if (isLost) {
    world.lost = Math.max(world.lost - 1, 0);
    return Promise.reject(
      new RemoteError("no answer", {
        failure: RemoteFailure.Timeout,
        effect: Effect.Unknown,
      }),
    );
  }
  if (order.reclaimable && world.dry.has(order.failureDomain)) {
    return Promise.resolve(OperatorAnswer.Conflict);
  }
  applyOrder(world, order);
  return Promise.resolve(OperatorAnswer.Accepted);
}

const stepMs = 500;

/** Lets a load come that needs the number of endpoints that `getNeed` returns for each moment. */
export async function offerLoad(
  world: ScalingWorld,
  { seconds, getNeed }: {
    readonly seconds: number;
    readonly getNeed: (ms: number) => number;
  },
): Promise<void> {
  for (let ms = 0; ms < seconds * 1_000; ms += stepMs) {
    const need = getNeed(ms);
    const missing = Math.max(need - 0.5, 0) * use * tokensPerMs *
      prefillShare * stepMs;
    world.openCalls = need > 0 ? 20 : 0;
    world.work = {
      ...world.work,
      calls: world.work.calls + (need > 0 ? stepMs : 0),
      missingTokens: world.work.missingTokens + missing,
      missingSquares: world.work.missingSquares + missing * promptTokens,
    };
    if (ms % 1_000 === 0) void world.scaler.advance();
    const before = world.endpoints.length;
    await world.scalingClock?.tickAsync(stepMs);
    world.spare = Math.min(world.spare, world.endpoints.length - need);
    world.fewest = Math.min(world.fewest, world.endpoints.length);
    world.mostLeft = Math.max(world.mostLeft, before - world.endpoints.length);
  }
}
