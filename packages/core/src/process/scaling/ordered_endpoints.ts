/**
 * What one instance has planned and ordered for a service, and how many endpoints
 * that leaves in each failure domain.
 */
import type {
  EndpointOrder,
  FailureDomain,
  ListedEndpoint,
  ScalingLimits,
} from "../../types/index.ts";
import type { ServiceSample } from "./estimate_need.ts";
import type { DomainEndpoints } from "./plan_endpoints.ts";

/** What was ordered for one service, failure domain and kind. */
export interface Ordered {
  readonly count: number;
  readonly atMs: number;
  seen: boolean;
}

/** What one instance has planned and ordered for a service. */
export interface ServiceScale {
  readonly samples: ServiceSample[];
  readonly ordered: Map<string, Ordered>;
  readonly dryUntilMs: Map<FailureDomain, number>;
  shrunkMs: number;
  /** Endpoints that serve the load well; 0 without any load, undefined while that is not known. */
  need: number | undefined;
  /** Since when there is a load, in ms of `performance.now()`. */
  loadedMs: number;
  /** Planned number of endpoints; undefined before the first plan. */
  total: number | undefined;
  /** Endpoints that the list showed last. */
  listed: number | undefined;
}

/** Endpoints of an order's domain and kind that were ordered, or else that there are. */
export function getKnown(
  order: Pick<EndpointOrder, "failureDomain" | "reclaimable">,
  { scale, domains }: {
    readonly scale: ServiceScale;
    readonly domains: readonly DomainEndpoints[];
  },
): number {
  const domain = domains.find(({ failureDomain }) =>
    failureDomain === order.failureDomain
  );
  const present = order.reclaimable ? domain?.reclaimable : domain?.regular;
  return scale.ordered.get(getKey(order))?.count ?? present ?? 0;
}

/** Lowers orders for more so that both kinds of a domain together stay within its limit until the list shows that the other kind has shrunk; drops those without room. */
export function fitGrowth(
  orders: readonly EndpointOrder[],
  { limits, scale, domains, listed }: {
    readonly limits: ScalingLimits;
    readonly scale: ServiceScale;
    readonly domains: readonly DomainEndpoints[];
    readonly listed: ReadonlyMap<string, number>;
  },
): readonly EndpointOrder[] {
  const granted = new Map<string, number>();
  const count = (order: EndpointOrder): number =>
    granted.get(getKey(order)) ?? getKnown(order, { scale, domains });
  return orders.flatMap((order) => {
    const other = { ...order, reclaimable: !order.reclaimable };
    // An order for fewer may have got lost.
    const others = Math.max(count(other), listed.get(getKey(other)) ?? 0);
    const most = Math.min(order.count, limits.maxEndpoints - others);
    if (most <= count(order)) return [];
    granted.set(getKey(order), most);
    return [{ ...order, count: most }];
  });
}

/** Names a failure domain and kind of endpoints. */
export function getKey(
  { failureDomain, reclaimable }: Pick<
    EndpointOrder,
    "failureDomain" | "reclaimable"
  >,
): string {
  return `${failureDomain} ${reclaimable ? "reclaimable" : "regular"}`;
}

/** Listed endpoints by failure domain and kind. */
export function countListed(
  endpoints: readonly ListedEndpoint[],
): ReadonlyMap<string, number> {
  const counts = new Map<string, number>();
  for (const { failureDomain, reclaimable = false } of endpoints) {
    const key = getKey({ failureDomain, reclaimable });
    counts.set(key, (counts.get(key) ?? 0) + 1);
  }
  return counts;
}

/** Endpoints by failure domain: those that are listed, or ordered where an order is not seen yet. */
export function countDomains(
  endpoints: readonly ListedEndpoint[],
  { limits, scale }: {
    readonly limits: ScalingLimits;
    readonly scale: ServiceScale;
  },
): readonly DomainEndpoints[] {
  const listed = countListed(endpoints);
  const count = (
    failureDomain: FailureDomain,
    reclaimable: boolean,
  ): number => {
    const key = getKey({ failureDomain, reclaimable });
    const order = scale.ordered.get(key);
    return order && !order.seen ? order.count : listed.get(key) ?? 0;
  };
  return Object.keys(limits.domainPrices).map((failureDomain) => ({
    failureDomain,
    regular: count(failureDomain, false),
    reclaimable: count(failureDomain, true),
    isDry:
      (scale.dryUntilMs.get(failureDomain) ?? -Infinity) > performance.now(),
  }));
}

/** Takes refused endpoints out of the planned number, down to what is there: others come as far as the load needs them, not in place of a reserve. */
export function adjustTotal(
  scale: ServiceScale,
  { more, present }: { readonly more: number; readonly present: number },
): void {
  const { total } = scale;
  if (total === undefined) return;
  scale.total = Math.max(total - more, Math.min(total, present));
}
