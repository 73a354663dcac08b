/**
 * Orders the number of endpoints of services whose configuration names limits.
 * Runs at the instance that makes the calls to the operator. Grows at once and
 * shrinks slowly: an endpoint that goes takes its cached prompts with it, and a
 * new one takes seconds to serve. What an order has changed is seen in the list
 * of endpoints only.
 */
import { isDeepStrictEqual } from "node:util";
import { type LogEvent, logEvent } from "../../shared/index.ts";
import {
  type EndpointOrder,
  type ListedEndpoint,
  OperatorAnswer,
  type OperatorApi,
  type OperatorRecord,
  type RoutedService,
  type ScalingLimits,
  type ServiceName,
} from "../../types/index.ts";
import type { RecordedDuty, RecordedTerm } from "../fleet/index.ts";
import { createPause, type Pause } from "../operator/index.ts";
import { chooseRegular, chooseTotal, peakSpanMs } from "./choose_total.ts";
import {
  estimateNeed,
  type NeedOptions,
  type ServiceSample,
} from "./estimate_need.ts";
import { scalingEvents } from "./events.ts";
import {
  adjustTotal,
  countDomains,
  countListed,
  fitGrowth,
  getKey,
  getKnown,
  type ServiceScale,
} from "./ordered_endpoints.ts";
import { type DomainEndpoints, planEndpoints } from "./plan_endpoints.ts";

/** Dependencies of the orders. */
export interface ScalerOptions {
  readonly duty: RecordedDuty<OperatorRecord>;
  readonly api: Pick<OperatorApi, "orderEndpoints">;
  /** Services of the configuration in force; those without limits are skipped. */
  readonly listServices: () => readonly RoutedService[];
  /** Endpoints of a service that take work. */
  readonly listEndpoints: (service: ServiceName) => readonly ListedEndpoint[];
  /** Whether enough is known to order by it: the list of endpoints is recent, and the counters are those of all instances. */
  readonly mayOrder: () => boolean;
  /** Current counters of a service over all instances; undefined before they are collected. */
  readonly takeSample: (service: ServiceName) => ServiceSample | undefined;
  /** What the endpoints of a service can do. */
  readonly getAbility: (service: ServiceName) => NeedOptions;
  readonly pause: Pause;
  readonly logEvent?: LogEvent;
}

/** Orders endpoints. */
export interface Scaler {
  /** Takes a sample of each service, and orders what its load needs; to be called about once a second. Does not reject. */
  readonly advance: () => Promise<void>;
}

/** Time between two orders that give endpoints back, in ms. */
const shrinkIntervalMs = 4_000;
/** Time after `bootMs` within which the list shows what was ordered, in ms: a heartbeat and a read of the list. */
const listLagMs = 4_000;
/** Time for which a domain that had no reclaimable endpoints is not asked again, in ms. */
const dryMs = 8_000;

/** Creates the scaler of one instance, which has ordered nothing. */
export function createScaler(options: ScalerOptions): Scaler {
  const log = options.logEvent ?? logEvent;
  const scales = new Map<ServiceName, ServiceScale>();
  /** Plans in the record as this instance wrote them last. */
  let written: OperatorRecord["planned"];
  /** A claim that is not had says nothing about the way to the operator. */
  const claimPause = createPause();

  function isPauseOver(): boolean {
    return options.pause.isOver() && claimPause.isOver();
  }

  function getScale(service: ServiceName): ServiceScale {
    const known = scales.get(service);
    if (known) return known;
    const created: ServiceScale = {
      samples: [],
      ordered: new Map(),
      dryUntilMs: new Map(),
      shrunkMs: -Infinity,
      need: undefined,
      loadedMs: Infinity,
      total: undefined,
      listed: undefined,
    };
    scales.set(service, created);
    return created;
  }

  function recordSample(service: ServiceName, scale: ServiceScale): void {
    const sample = options.takeSample(service);
    if (!sample) return;
    scale.samples.push(sample);
    const oldestMs = sample.atMs - peakSpanMs;
    while ((scale.samples[0]?.atMs ?? oldestMs) < oldestMs) {
      scale.samples.shift();
    }
    const need = estimateNeed(scale.samples, options.getAbility(service));
    if (need !== scale.need) {
      log(scalingEvents.needChanged, { service, wanted: need });
    }
    if (!need) scale.loadedMs = Infinity;
    else if (!scale.need) scale.loadedMs = performance.now();
    scale.need = need;
  }

  /** Plans and lists the orders that are due; orders for more come first. */
  function listOrders(
    service: ServiceName,
    limits: ScalingLimits,
  ): readonly EndpointOrder[] {
    const scale = getScale(service);
    const { need } = scale;
    if (need === undefined) return [];
    const nowMs = performance.now();
    const endpoints = options.listEndpoints(service);
    const isSettled = scale.listed === endpoints.length;
    scale.listed = endpoints.length;
    // Without a load there is time until the list is complete.
    if (need === 0 && !isSettled) return [];
    const domains = countDomains(endpoints, { limits, scale });
    const isWaiting = [...scale.ordered.values()].some(({ seen, atMs }) =>
      !seen && nowMs - atMs < limits.bootMs + listLagMs
    );
    const mayShrink = !isWaiting && nowMs - scale.shrunkMs > shrinkIntervalMs;
    const observedMs = nowMs - scale.loadedMs;
    const bounds = { limits, domains };
    const state = { need, total: scale.total, observedMs, mayShrink };
    scale.total = chooseTotal(state, bounds);
    const regular = chooseRegular(scale.total, { need, options: bounds });
    const plan = planEndpoints(
      { total: scale.total, regular, needed: need },
      bounds,
    );
    const orders = plan.flatMap((planned) =>
      [false, true].map((reclaimable) => ({
        service,
        failureDomain: planned.failureDomain,
        count: reclaimable ? planned.reclaimable : planned.regular,
        reclaimable,
      }))
    );
    const growing = fitGrowth(
      orders.filter((order) => isDue(order, { scale, domains, grows: true })),
      { limits, scale, domains, listed: countListed(endpoints) },
    );
    if (growing.length > 0 || !mayShrink) return growing;
    const shrinking = orders.filter((order) =>
      isDue(order, { scale, domains, grows: false })
    );
    if (shrinking.length > 0) scale.shrunkMs = nowMs;
    return shrinking;
  }

  /** Whether an order differs from what there is or was ordered, in the given direction. */
  function isDue(
    order: EndpointOrder,
    { scale, domains, grows }: {
      readonly scale: ServiceScale;
      readonly domains: readonly DomainEndpoints[];
      readonly grows: boolean;
    },
  ): boolean {
    const known = getKnown(order, { scale, domains });
    return grows ? order.count > known : order.count < known;
  }

  /** Marks orders that the list shows, and drops those that it contradicts for too long. */
  function checkOrders(service: ServiceName, limits: ScalingLimits): void {
    const { ordered } = getScale(service);
    const counts = countListed(options.listEndpoints(service));
    const nowMs = performance.now();
    for (const [key, order] of ordered) {
      const listed = counts.get(key) ?? 0;
      if (listed === order.count) {
        if (!order.seen) log(scalingEvents.seen, { service, key, listed });
        order.seen = true;
        continue;
      }
      if (nowMs - order.atMs < limits.bootMs + listLagMs) continue;
      log(scalingEvents.contradicted, {
        service,
        key,
        listed,
        ordered: order.count,
      });
      ordered.delete(key);
    }
  }

  async function sendOrder(
    order: EndpointOrder,
    term: RecordedTerm<OperatorRecord>,
  ): Promise<boolean> {
    const { holder, fence } = term.claim;
    const { service, failureDomain, count, reclaimable } = order;
    const scale = getScale(service);
    const key = getKey(order);
    const fields = { service, failureDomain, count, reclaimable, fence };
    const endpoints = options.listEndpoints(service);
    const listed = countListed(endpoints).get(key) ?? 0;
    const more = count - (scale.ordered.get(key)?.count ?? listed);
    // Recorded first: an order without an answer may still be carried out.
    scale.ordered.set(key, { count, atMs: performance.now(), seen: false });
    let isUnwritten = false;
    try {
      const answer = await options.api.orderEndpoints(
        order,
        { holder, fence },
        {
          mayWrite: () => {
            isUnwritten = !term.isCurrent();
            return !isUnwritten;
          },
        },
      );
      if (answer === OperatorAnswer.Accepted) {
        options.pause.recordSuccess();
        log(scalingEvents.ordered, fields);
        return true;
      }
      scale.ordered.delete(key);
      log(scalingEvents.notOrdered, { ...fields, why: answer });
      if (answer === OperatorAnswer.Conflict && reclaimable && more > 0) {
        adjustTotal(scale, { more, present: endpoints.length });
        scale.dryUntilMs.set(failureDomain, performance.now() + dryMs);
        return true;
      }
      if (answer === OperatorAnswer.Conflict) options.duty.dropFence(fence);
      options.pause.recordFailure();
    } catch (error) {
      log(scalingEvents.notOrdered, { ...fields, why: String(error) });
      if (isUnwritten) {
        scale.ordered.delete(key);
        options.pause.recordFailure();
      } else options.pause.recordSilence();
    }
    return false;
  }

  function listDue(): readonly EndpointOrder[] {
    return options.listServices().flatMap(({ name, scaling }) => {
      if (!scaling) return [];
      checkOrders(name, scaling);
      return listOrders(name, scaling);
    });
  }

  /** Takes over what another holder has planned. */
  function applyPlans(plans: OperatorRecord["planned"]): void {
    for (const [service, total] of Object.entries(plans ?? {})) {
      getScale(service).total = total;
    }
  }

  function getPlans(): OperatorRecord["planned"] {
    const plans = [...scales].flatMap(([service, { total }]) =>
      total === undefined ? [] : [[service, total] as const]
    );
    return Object.fromEntries(plans);
  }

  return {
    async advance(): Promise<void> {
      for (const { name, scaling } of options.listServices()) {
        if (scaling) recordSample(name, getScale(name));
      }
      if (!isPauseOver() || !options.mayOrder()) return;
      let orders = listDue();
      if (orders.length === 0) return;
      let others: OperatorRecord["planned"];
      const term = await options.duty.claim((stamp, newest) => {
        // The holder's name does not tell: its usage reports keep the plans of the one before.
        const isOwn = isDeepStrictEqual(newest?.planned, written);
        others = isOwn ? undefined : newest?.planned;
        const planned = others ?? getPlans();
        return { reports: [], ...newest, ...stamp, planned };
      });
      if (!term) return claimPause.recordFailure();
      claimPause.recordSuccess();
      written = term.claim.planned;
      if (others) {
        applyPlans(others);
        orders = listDue();
      }
      for (const order of orders) {
        if (!term.isCurrent() || !await sendOrder(order, term)) return;
      }
    },
  };
}
