/** Instances that share limits by digests, for the steps of `limits.feature`. */
import type { PausedClock } from "@trefoildoor/testing";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import type { ListedEndpoint } from "../../types/index.ts";
import {
  createEndpointLimits,
  type EndpointLimits,
  LimitStep,
} from "./index.ts";

/** One instance of a scenario. */
export interface LimitedInstance {
  readonly name: string;
  limits: EndpointLimits;
  start: number;
  /** Whether digests reach it and leave it. */
  cut: boolean;
  ended: boolean;
  /** Weight of its callers. */
  weight: number;
}

/** A request that reached the endpoint. */
export interface LimitedSend {
  readonly atMs: number;
  readonly instance: LimitedInstance;
  /** Whether the instance has been told of the limit and had no trouble lately. */
  readonly counts: boolean;
}

/** State of one scenario. */
export interface LimitStepsWorld {
  limitClock?: PausedClock;
  instances: LimitedInstance[];
  delayMs: number;
  endpoint: ListedEndpoint;
  /** Limits that the endpoint has named, the newest last. */
  named: { readonly perSecond: number | undefined; readonly fromMs: number }[];
  sends: LimitedSend[];
  calls: number;
  random: () => number;
  returned: { came: number; sent: number };
  readonly troubles: Map<string, number>;
  /** How often one instance has asked for the delay of the news. */
  delayReads: number;
}

const msPerSecond = 1_000;
const heartbeatMs = 1_000;
const stepMs = 10;
/** Time for which a restart or cut excuses an instance, in ms. */
const excusedMs = 3_000;
const seed = 25;

/** Prepares instances without limits. */
export function prepareInstances(
  world: LimitStepsWorld,
  { count, delayMs }: { readonly count: number; readonly delayMs: number },
): void {
  const generator = xoroshiro128plus(seed);
  Object.assign(world, {
    delayMs,
    endpoint: buildEndpoint("d1", 1),
    named: [],
    sends: [],
    calls: 0,
    random: () => uniformFloat64(generator),
    returned: { came: 0, sent: 0 },
    troubles: new Map(),
    instances: Array.from({ length: count }, (_, index) => ({
      name: `instance-${index}`,
      limits: createLimits(delayMs),
      start: 1,
      cut: false,
      ended: false,
      weight: 1,
    })),
  });
}

/** Builds a listed endpoint. */
export function buildEndpoint(
  name: string,
  startedAtMs: number,
): ListedEndpoint {
  return {
    name,
    service: "models",
    address: "10.0.0.1:1",
    failureDomain: "sapporo",
    slots: 64,
    leaving: false,
    startedAtMs,
  };
}

function createLimits(delayMs: number): EndpointLimits {
  return createEndpointLimits({
    getNewsDelayMs: () => delayMs,
    logEvent: () => undefined,
  });
}

/** Gives the instances' callers weights: all the same, a few large ones, or one instance only. */
export function setCallers(world: LimitStepsWorld, kind: string): void {
  for (const [index, instance] of world.instances.entries()) {
    const uneven = 1 / (index + 1) ** 2;
    instance.weight = kind === "even" ? 1 : kind === "uneven" ? uneven : 0;
  }
  if (kind !== "single") return;
  const [first] = world.instances;
  if (first) first.weight = 1;
}

/** A refused caller, and when it comes back to the instance, in ms of `performance.now()`. */
interface ReturningCaller {
  readonly atMs: number;
  readonly by: LimitedInstance;
}

/** Sends calls for some time and returns the callers that have not come back yet; refused callers come back when told if `comeBack` is set. */
export async function sendCalls(
  world: LimitStepsWorld,
  { perSecond, seconds, comeBack = false, returning = [] }: {
    readonly perSecond: number;
    readonly seconds: number;
    readonly comeBack?: boolean;
    /** Callers that come back. */
    readonly returning?: ReturningCaller[];
  },
): Promise<ReturningCaller[]> {
  const endMs = performance.now() + seconds * msPerSecond;
  let due = 0;
  let heartbeat = 0;
  while (performance.now() < endMs) {
    await world.limitClock?.tickAsync(stepMs);
    due += perSecond * stepMs / msPerSecond;
    for (; due >= 1; due -= 1) {
      const by = drawInstance(world);
      const refusedMs = makeCall(world, by);
      if (refusedMs !== undefined && comeBack) {
        returning.push({ atMs: performance.now() + refusedMs, by });
      }
    }
    for (
      const back of returning.filter(({ atMs }) => atMs <= performance.now())
    ) {
      returning.splice(returning.indexOf(back), 1);
      world.returned.came += 1;
      const refusedMs = makeCall(world, back.by);
      if (refusedMs === undefined) world.returned.sent += 1;
      else returning.push({ ...back, atMs: performance.now() + refusedMs });
    }
    heartbeat += stepMs;
    if (heartbeat % heartbeatMs === 0) {
      for (const instance of world.instances) scheduleDigest(world, instance);
    }
  }
  return returning;
}

function drawInstance(world: LimitStepsWorld): LimitedInstance {
  const running = world.instances.filter(({ ended }) => !ended);
  const sum = running.reduce((total, { weight }) => total + weight, 0);
  let rest = world.random() * sum;
  for (const instance of running) {
    rest -= instance.weight;
    if (rest < 0) return instance;
  }
  return running.at(-1)!;
}

/** Makes one call; returns when it may come back, in ms, if it is refused. */
function makeCall(
  world: LimitStepsWorld,
  instance: LimitedInstance,
): number | undefined {
  const { endpoint } = world;
  const { limits } = instance;
  world.calls += 1;
  const id = `call-${world.calls}`;
  limits.recordDemand(endpoint);
  if (!limits.mayUse(endpoint, id)) return limits.refuse([endpoint], id);
  const nowMs = performance.now();
  const troubleMs = world.troubles.get(instance.name) ?? -Infinity;
  world.sends.push({
    atMs: nowMs,
    instance,
    counts: limits.isLimited(endpoint.name) && !instance.cut &&
      nowMs - troubleMs > excusedMs,
  });
  limits.recordSend(endpoint);
  limits.recordAnswer(endpoint, {
    perSecond: world.named.at(-1)?.perSecond,
    step: LimitStep.Call,
    succeeded: true,
  });
  scheduleDigest(world, instance);
  return undefined;
}

/** Sends a digest; as with batches, it reports what has happened when it leaves, half of the way later. */
function scheduleDigest(
  world: LimitStepsWorld,
  instance: LimitedInstance,
): void {
  setTimeout(() => {
    if (instance.ended) return;
    const reports = instance.limits.collectReports();
    const start = String(instance.start);
    setTimeout(() => {
      for (const peer of world.instances) {
        if (peer === instance || peer.ended) continue;
        if (peer.cut !== instance.cut) continue;
        peer.limits.applyReports(reports, {
          instance: instance.name,
          start,
          stopping: false,
          delayMs: world.delayMs / 2,
        });
      }
    }, world.delayMs / 2);
  }, world.delayMs / 2);
}

/** Replaces an instance's process by a new one that knows nothing. */
export function restartInstance(
  world: LimitStepsWorld,
  instance: LimitedInstance,
): void {
  instance.start += 1;
  instance.limits = createLimits(world.delayMs);
  world.troubles.set(instance.name, performance.now());
}
