/**
 * Shares the room of each service among workspaces, over all instances. While
 * calls find no room, a workspace that asks for more than its max-min share gets
 * the right fraction of its calls admitted and the others refused at once.
 */
import { type LogEvent, logEvent } from "../../shared/index.ts";
import type { ServiceName, WorkspaceName } from "../../types/index.ts";
import { computeLevel, type DemandGroup } from "./compute_level.ts";
import { createDemandWindow, type DemandWindow } from "./demand_window.ts";
import { shareEvents } from "./events.ts";
import { createPeerDemands } from "./peer_demand.ts";
import type {
  DemandReports,
  FairShares,
  ServiceDemand,
} from "./share_types.ts";
import { createTurns, type Turns } from "./turns.ts";

/** Dependencies of the shares of one instance. */
export interface FairSharesOptions {
  /** Random number from 0 up to 1. */
  readonly random: () => number;
  /** Whether the service has places left, so that nothing is refused; false by default. Asked at most ten times a second for each service. */
  readonly hasFree?: (service: ServiceName) => boolean;
  readonly logEvent?: LogEvent;
}

/** Number of workspaces that a digest names for each service. */
const maxHeaviest = 16;
/** Time for which computed shares are used, in ms. */
const refreshMs = 100;
/** Time for which shares hold after the last sign that calls found no room, in ms: two digests of an instance with little to do. */
const holdMs = 2_000;
/** Time from the first such sign until calls are refused for shares, in ms: a digest of most instances, as the demand here says little of that over all. */
const learnMs = 750;
/** Time without a refusal for a share after which that is logged, in ms. */
const quietMs = 5_000;
/** Share of the work without room above which the room counts as used up. */
const fullShare = 0.01;
/** Room that is shared out, in parts of the work that was taken: a little more, so that growing room is found. */
const fullFactor = 1.03;
const nearlyFullFactor = 1.1;
const holdFactor = 1.5;

interface ServiceShares {
  readonly window: DemandWindow;
  readonly turns: Turns;
  /** Demand at this instance when it was last described. */
  own?: { readonly demand: ServiceDemand; readonly takenMs: number };
  /** What each workspace may have, as a rate; Infinity if there is room for all. */
  level: number;
  nextRefreshMs: number;
  /** When calls were first and last known to find no room, in the present time of pressure. */
  firstPressedMs: number;
  pressedMs: number;
  /** When a call was last refused for its share; undefined once that is over. */
  appliedMs: number | undefined;
}

/** Demand of one service over all instances. */
interface FleetDemand {
  readonly groups: readonly DemandGroup[];
  readonly taken: number;
  readonly refused: number;
}

/** Creates the shares of an instance that has counted nothing. */
export function createFairShares(
  { random, hasFree = () => false, ...options }: FairSharesOptions,
): FairShares {
  const log = options.logEvent ?? logEvent;
  const services = new Map<ServiceName, ServiceShares>();
  const peers = createPeerDemands();

  function getShares(service: ServiceName): ServiceShares {
    const known = services.get(service);
    if (known) return known;
    const created: ServiceShares = {
      window: createDemandWindow(),
      turns: createTurns(random),
      level: Infinity,
      nextRefreshMs: -Infinity,
      firstPressedMs: -Infinity,
      pressedMs: -Infinity,
      appliedMs: undefined,
    };
    services.set(service, created);
    return created;
  }

  /** The workspaces with the highest known rate over all instances, with their rates at this one. */
  function listHeaviest(
    service: ServiceName,
    { window }: ServiceShares,
  ): readonly (readonly [WorkspaceName, number])[] {
    const found: { name: WorkspaceName; rate: number; total: number }[] = [];
    for (const [name, rate] of window.listRates()) {
      const total = rate + peers.getRate(service, name);
      const last = found.at(-1);
      if (last && found.length >= maxHeaviest && total <= last.total) continue;
      const place = found.findIndex((each) => each.total < total);
      found.splice(place < 0 ? found.length : place, 0, { name, rate, total });
      if (found.length > maxHeaviest) found.pop();
    }
    return found.map(({ name, rate }) => [name, rate]);
  }

  function describeOwn(
    service: ServiceName,
    shares: ServiceShares,
  ): ServiceDemand {
    const heaviest = listHeaviest(service, shares);
    const { offered, taken, refused } = shares.window.getTotals();
    const named = heaviest.reduce((sum, [, rate]) => sum + rate, 0);
    return {
      heaviest: Object.fromEntries(heaviest),
      rest: Math.max(offered - named, 0),
      restCount: shares.window.countWorkspaces() - heaviest.length,
      taken,
      refused,
    };
  }

  /** Demand at this instance, as of `refreshMs` ago at most. */
  function getOwn(service: ServiceName, shares: ServiceShares): ServiceDemand {
    const nowMs = performance.now();
    if (!shares.own || nowMs - shares.own.takenMs >= refreshMs) {
      const demand = describeOwn(service, shares);
      shares.own = { demand, takenMs: nowMs };
    }
    return shares.own.demand;
  }

  function sumDemand(
    service: ServiceName,
    shares: ServiceShares,
  ): FleetDemand {
    const own = getOwn(service, shares);
    const others = peers.get(service);
    const named = new Map(others?.heaviest);
    for (const [name, rate] of Object.entries(own.heaviest)) {
      named.set(name, (named.get(name) ?? 0) + rate);
    }
    const groups = [...named.values()].map((demand) => ({ demand, count: 1 }));
    const rest = own.rest + (others?.rest ?? 0);
    const count = Math.max(own.restCount, others?.restCount ?? 0);
    if (count > 0) groups.push({ demand: rest / count, count });
    return {
      groups,
      taken: own.taken + (others?.taken ?? 0),
      refused: own.refused + (others?.refused ?? 0),
    };
  }

  /** Notes whether calls of the service find no room anywhere; returns whether that was so a moment ago. */
  function isPressed(service: ServiceName, shares: ServiceShares): boolean {
    const nowMs = performance.now();
    const refused = shares.window.getTotals().refused +
      peers.getRefused(service);
    if (refused > 0) {
      const begins = nowMs - shares.pressedMs >= holdMs;
      if (begins) shares.firstPressedMs = nowMs;
      shares.pressedMs = nowMs;
    }
    return nowMs - shares.pressedMs < holdMs;
  }

  /** Computes what each workspace may have, if that was not done a moment ago. */
  function updateLevel(service: ServiceName, shares: ServiceShares): void {
    const nowMs = performance.now();
    if (nowMs < shares.nextRefreshMs) return;
    shares.nextRefreshMs = nowMs + refreshMs;
    if (isPressed(service, shares)) {
      const { groups, taken, refused } = sumDemand(service, shares);
      const factor = chooseFactor(refused / (taken + refused || 1));
      const learns = nowMs - shares.firstPressedMs < learnMs;
      shares.level = learns || hasFree(service)
        ? Infinity
        : computeLevel(groups, taken * factor);
    } else {
      shares.level = Infinity;
      shares.turns.clear();
    }
    const { appliedMs } = shares;
    if (appliedMs === undefined || nowMs - appliedMs < quietMs) return;
    shares.appliedMs = undefined;
    log(shareEvents.sharesEnded, { service });
  }

  /** Logs the first refusal for a share, and remembers the last one. */
  function recordApplied(
    shares: ServiceShares,
    { service, workspace, demand }: {
      readonly service: ServiceName;
      readonly workspace: WorkspaceName;
      readonly demand: number;
    },
  ): void {
    if (shares.appliedMs === undefined) {
      log(shareEvents.sharesApplied, {
        service,
        workspace,
        share: Math.round(shares.level),
        demand: Math.round(demand),
      });
    }
    shares.appliedMs = performance.now();
  }

  return {
    admit({ service, workspace, work }): number | undefined {
      const shares = getShares(service);
      updateLevel(service, shares);
      const { window, turns, level } = shares;
      // By the calls before this one, so that a large call of a small workspace is not refused for its size.
      const own = window.getRate(workspace);
      window.recordOffered(workspace, work);
      if (level === Infinity) return undefined;
      const demand = own + peers.getRate(service, workspace);
      if (demand <= level) return undefined;
      const retryAfterMs = turns.take(workspace, {
        fraction: level / demand,
        work,
        rate: own,
      });
      if (retryAfterMs === undefined) return undefined;
      window.recordRefused(work, { full: false });
      recordApplied(shares, { service, workspace, demand });
      return retryAfterMs;
    },
    recordOffered({ service, workspace, work }): void {
      getShares(service).window.recordOffered(workspace, work);
    },
    recordRefused({ service, work }): void {
      getShares(service).window.recordRefused(work, { full: true });
    },
    collectReports(): DemandReports | undefined {
      const told = [...services].filter(([service, shares]) =>
        isPressed(service, shares)
      );
      if (told.length === 0) return undefined;
      return Object.fromEntries(
        told.map(([service, shares]) => [
          service,
          getOwn(service, shares),
        ]),
      );
    },
    applyReports: peers.update,
  };
}

function chooseFactor(refusedShare: number): number {
  if (refusedShare >= fullShare) return fullFactor;
  return refusedShare > 0 ? nearlyFullFactor : holdFactor;
}
