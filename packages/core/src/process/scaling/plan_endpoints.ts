/**
 * Plans how many endpoints of each kind each failure domain should have.
 * Endpoints that can be reclaimed are cheaper and go all at once in a domain, so
 * there are so many that the loss of any one domain's leaves enough. Where that
 * costs more than endpoints that stay, there are none.
 */
import type { FailureDomain, ScalingLimits } from "../../types/index.ts";

/** Endpoints of one kind. */
export interface KindCount {
  readonly regular: number;
  readonly reclaimable: number;
}

/** Endpoints of a failure domain that serve or are on their way. */
export interface DomainEndpoints extends KindCount {
  readonly failureDomain: FailureDomain;
  /** Whether no reclaimable ones are to be had there at present. */
  readonly isDry: boolean;
}

/** Planned endpoints of a failure domain. */
export interface PlannedEndpoints extends KindCount {
  readonly failureDomain: FailureDomain;
}

/** Limits of the service and what its failure domains have. */
export interface PlanOptions {
  readonly limits: ScalingLimits;
  /** Those of the limits' prices. */
  readonly domains: readonly DomainEndpoints[];
}

/** Total number of endpoints of which `needed` are left when the reclaimable ones of any one domain are lost. */
export function countWithLoss(needed: number, options: PlanOptions): number {
  const regular = countLeastRegular(needed, options);
  const offering = countOffering(options);
  if (regular >= needed || offering < 2) return needed;
  const inDomain = Math.ceil((needed - regular) / (offering - 1));
  return needed + inDomain;
}

/** Fewest of `total` endpoints that cannot be reclaimed: one in each domain where the others are worth their price, or else all. */
export function countLeastRegular(total: number, options: PlanOptions): number {
  const { limits: { reclaimablePrice = Infinity }, domains } = options;
  const offering = countOffering(options);
  const isWorthIt = offering >= 2 &&
    reclaimablePrice * offering / (offering - 1) < 1;
  return isWorthIt ? Math.min(domains.length, total) : total;
}

/** Plans each domain, within the limits. */
export function planEndpoints(
  { total, regular, needed }: {
    /** All endpoints. */
    readonly total: number;
    /** Of these, the fewest that cannot be reclaimed. */
    readonly regular: number;
    /** Endpoints that the load needs: as far as too few reclaimable ones are to be had, there are others. */
    readonly needed: number;
  },
  { limits, domains }: PlanOptions,
): readonly PlannedEndpoints[] {
  const byPrice = domains.toSorted((left, right) =>
    getPrice(limits, left) - getPrice(limits, right)
  );
  const regulars = placeEvenly(regular, byPrice.map(() => limits.maxEndpoints));
  const rooms = byPrice.map(({ isDry, reclaimable }, index) => {
    const room = limits.maxEndpoints - (regulars[index] ?? 0);
    return isDry ? Math.min(reclaimable, room) : room;
  });
  const reclaimables = placeEvenly(total - regular, rooms);
  const missing = Math.min(total, needed) - sum(regulars) - sum(reclaimables);
  const more = placeEvenly(
    missing,
    byPrice.map((_domain, index) =>
      limits.maxEndpoints - (regulars[index] ?? 0) - (reclaimables[index] ?? 0)
    ),
  );
  return byPrice.map(({ failureDomain }, index) => {
    const reclaimable = reclaimables[index] ?? 0;
    const planned = (regulars[index] ?? 0) + (more[index] ?? 0);
    return {
      failureDomain,
      reclaimable,
      regular: Math.max(planned, limits.minEndpoints - reclaimable),
    };
  });
}

/** Number of domains that have reclaimable endpoints or where they are to be had. */
function countOffering({ limits, domains }: PlanOptions): number {
  if (limits.reclaimablePrice === undefined) return 0;
  return domains.filter(({ isDry, reclaimable }) => !isDry || reclaimable > 0)
    .length;
}

function getPrice(
  { domainPrices }: ScalingLimits,
  { failureDomain }: DomainEndpoints,
): number {
  return domainPrices[failureDomain] ?? 1;
}

/** Spreads a number evenly over places with the given room, the first ones first. */
function placeEvenly(
  count: number,
  rooms: readonly number[],
): readonly number[] {
  const given = rooms.map(() => 0);
  let left = Math.max(count, 0);
  while (left > 0) {
    let lowest: number | undefined;
    for (const [index, room] of rooms.entries()) {
      if ((given[index] ?? 0) >= room) continue;
      if (lowest === undefined || (given[index] ?? 0) < (given[lowest] ?? 0)) {
        lowest = index;
      }
    }
    if (lowest === undefined) break;
    given[lowest] = (given[lowest] ?? 0) + 1;
    left -= 1;
  }
  return given;
}

function sum(numbers: readonly number[]): number {
  return numbers.reduce((total, each) => total + each, 0);
}
