/**
 * Weighted fair queue of waiting requests. Each flow, a caller at one
 * priority, has a share; of the waiting flows the one that has had least for
 * its share goes first. Inside a flow the earliest deadline goes first.
 */
import { Priority } from "../../types/index.ts";

/** What the queue needs to know of a request. */
export interface QueuedWork {
  readonly caller: string;
  readonly share: number;
  readonly priority: Priority;
  /** Latest useful end, on the clock of `performance.now()`. */
  readonly deadlineAtMs: number;
  /** Work of the request, in any unit that all requests share. */
  readonly cost: number;
}

/** Waiting requests in order of fairness. */
export interface FairQueue<T extends QueuedWork> {
  readonly add: (work: T) => void;
  readonly remove: (work: T) => boolean;
  /** The request to run next, which stays in the queue. */
  readonly look: () => T | undefined;
  /** Takes the request out and counts its cost for its flow. */
  readonly pick: (work: T) => void;
  /** All waiting requests in the order in which they would run. */
  readonly list: () => readonly T[];
  readonly getSize: () => number;
  /** The request that has to go when the queue is too long. */
  readonly findLeast: () => T | undefined;
}

interface Flow<T> {
  readonly key: string;
  weight: number;
  /** Cost taken so far, divided by the weight. */
  served: number;
  readonly waiting: T[];
}

/** A waiting caller of a higher priority gets this many times the share of the one below. */
const priorityWeights: Readonly<Record<Priority, number>> = {
  [Priority.Batch]: 1,
  [Priority.Normal]: 4,
  [Priority.Interactive]: 16,
};

/** Creates an empty queue. */
export function createFairQueue<T extends QueuedWork>(): FairQueue<T> {
  const flows = new Map<string, Flow<T>>();
  let size = 0;
  /** Service level of the flow that ran last; new flows begin there. */
  let level = 0;

  function removeWork(work: T): boolean {
    const flow = flows.get(getFlowKey(work));
    const index = flow?.waiting.indexOf(work) ?? -1;
    if (!flow || index < 0) return false;
    flow.waiting.splice(index, 1);
    size -= 1;
    return true;
  }

  /** Fairness counts among those that wait at the same time. */
  function clearWhenIdle(): void {
    if (size > 0) return;
    flows.clear();
    level = 0;
  }

  return {
    add(work): void {
      const key = getFlowKey(work);
      const weight = work.share * priorityWeights[work.priority];
      const flow = flows.get(key) ??
        { key, weight, served: level, waiting: [] };
      if (flow.waiting.length === 0) flow.served = Math.max(flow.served, level);
      flow.weight = weight;
      flows.set(key, flow);
      const later = flow.waiting.findIndex((other) =>
        other.deadlineAtMs > work.deadlineAtMs
      );
      flow.waiting.splice(later < 0 ? flow.waiting.length : later, 0, work);
      size += 1;
    },
    remove(work): boolean {
      const removed = removeWork(work);
      clearWhenIdle();
      return removed;
    },
    look: () => findNext(flows)?.waiting[0],
    pick(work): void {
      const flow = flows.get(getFlowKey(work));
      if (!flow || !removeWork(work)) return;
      level = Math.max(level, flow.served);
      flow.served += work.cost / flow.weight;
      clearWhenIdle();
    },
    list: () => listInOrder(flows),
    getSize: () => size,
    findLeast: () => findLeast(flows),
  };
}

function getFlowKey(work: QueuedWork): string {
  return `${work.priority}/${work.caller}`;
}

function findNext<T>(flows: Map<string, Flow<T>>): Flow<T> | undefined {
  let next: Flow<T> | undefined;
  for (const flow of flows.values()) {
    if (flow.waiting.length === 0) continue;
    if (!next || flow.served < next.served) next = flow;
  }
  return next;
}

function listInOrder<T extends QueuedWork>(
  flows: Map<string, Flow<T>>,
): readonly T[] {
  const ranked: { readonly work: T; readonly at: number }[] = [];
  for (const flow of flows.values()) {
    let at = flow.served;
    for (const work of flow.waiting) {
      ranked.push({ work, at });
      at += work.cost / flow.weight;
    }
  }
  ranked.sort((left, right) => left.at - right.at);
  return ranked.map((entry) => entry.work);
}

/** The last request of the flow that waits for most in relation to its share. */
function findLeast<T extends QueuedWork>(
  flows: Map<string, Flow<T>>,
): T | undefined {
  let least: T | undefined;
  let most = -Infinity;
  for (const flow of flows.values()) {
    const waiting = flow.waiting.reduce((sum, work) => sum + work.cost, 0);
    if (flow.waiting.length === 0 || waiting / flow.weight <= most) continue;
    most = waiting / flow.weight;
    least = flow.waiting.at(-1);
  }
  return least;
}
