/** Counts the work that arrived for one service in the last seconds, by workspace; nothing older has an effect. */
import type { WorkspaceName } from "../../types/index.ts";

/** Work of one service at one instance, as rates in thousandths of a unit a second, in whole numbers. */
export interface DemandWindow {
  readonly recordOffered: (workspace: WorkspaceName, work: number) => void;
  /** Records that work that arrived was refused; `full` if it found no room. */
  readonly recordRefused: (
    work: number,
    options: { readonly full: boolean },
  ) => void;
  readonly getRate: (workspace: WorkspaceName) => number;
  /** Workspaces whose work arrived, with their rates. */
  readonly listRates: () => Iterable<readonly [WorkspaceName, number]>;
  readonly countWorkspaces: () => number;
  /** Rates of all work together. */
  readonly getTotals: () => Totals;
}

/** Rates of all work of one service at one instance. */
interface Totals {
  readonly offered: number;
  /** Work that was not refused. */
  readonly taken: number;
  /** Work that found no room. */
  readonly refused: number;
}

const bucketMs = 500;
const bucketCount = 3;
/** Factor from units in a ms to thousandths of a unit a second. */
const rateFactor = 1_000_000;
/** Number of workspaces that are counted by name. */
const maxWorkspaces = 4_096;

interface Bucket {
  readonly number: number;
  readonly works: Map<WorkspaceName, number>;
  offered: number;
  shareRefused: number;
  fullRefused: number;
}

/** Creates a window that has counted nothing. */
export function createDemandWindow(): DemandWindow {
  const sums = new Map<WorkspaceName, number>();
  let buckets: Bucket[] = [];
  const firstMs = performance.now();

  function dropOldest(): void {
    const oldest = buckets.shift();
    for (const [workspace, work] of oldest?.works ?? []) {
      const left = (sums.get(workspace) ?? 0) - work;
      if (left > 0) sums.set(workspace, left);
      else sums.delete(workspace);
    }
  }

  /** Drops the buckets that are over. */
  function expireBuckets(): number {
    const number = Math.floor(performance.now() / bucketMs);
    while (buckets[0] && buckets[0].number <= number - bucketCount) {
      dropOldest();
    }
    // No remainder of sums over fractions outlives the buckets.
    if (buckets.length === 0) sums.clear();
    return number;
  }

  function openBucket(): Bucket {
    const number = expireBuckets();
    const newest = buckets.at(-1);
    if (newest?.number === number) return newest;
    const created: Bucket = {
      number,
      works: new Map(),
      offered: 0,
      shareRefused: 0,
      fullRefused: 0,
    };
    buckets = [...buckets, created];
    return created;
  }

  /** Rate of work that the buckets contain. */
  function getRateOf(work: number): number {
    const nowMs = performance.now();
    const coveredMs = (bucketCount - 1) * bucketMs + nowMs % bucketMs;
    return Math.round(
      work * rateFactor /
        Math.max(Math.min(coveredMs, nowMs - firstMs), bucketMs),
    );
  }

  return {
    recordOffered(workspace, work): void {
      const bucket = openBucket();
      bucket.offered += work;
      if (!sums.has(workspace) && sums.size >= maxWorkspaces) return;
      sums.set(workspace, (sums.get(workspace) ?? 0) + work);
      bucket.works.set(workspace, (bucket.works.get(workspace) ?? 0) + work);
    },
    recordRefused(work, { full }): void {
      openBucket()[full ? "fullRefused" : "shareRefused"] += work;
    },
    getRate(workspace): number {
      expireBuckets();
      return getRateOf(sums.get(workspace) ?? 0);
    },
    *listRates(): Iterable<readonly [WorkspaceName, number]> {
      expireBuckets();
      for (const [workspace, work] of sums) {
        yield [workspace, getRateOf(work)];
      }
    },
    countWorkspaces(): number {
      expireBuckets();
      return sums.size;
    },
    getTotals(): Totals {
      expireBuckets();
      const total = { offered: 0, shareRefused: 0, fullRefused: 0 };
      for (const bucket of buckets) {
        total.offered += bucket.offered;
        total.shareRefused += bucket.shareRefused;
        total.fullRefused += bucket.fullRefused;
      }
      const taken = total.offered - total.shareRefused - total.fullRefused;
      return {
        offered: getRateOf(total.offered),
        taken: getRateOf(Math.max(taken, 0)),
        refused: getRateOf(total.fullRefused),
      };
    },
  };
}
