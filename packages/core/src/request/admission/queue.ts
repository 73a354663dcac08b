/**
 * Weighted fair queue of waiting requests. A flow is the requests of one caller
 * at one priority. The non-empty flow with the lowest virtual time (cost served
 * divided by weight) is served next; within a flow, the earliest deadline first.
 */
import { Priority } from "../../types/index.ts";

/** Properties of a request by which the queue orders it. */
export interface QueuedWork {
  readonly caller: string;
  /** Weight of the caller relative to other callers. */
  readonly share: number;
  readonly priority: Priority;
  /** Deadline of the whole answer, on the clock of `performance.now()`. */
  readonly deadlineAtMs: number;
  /** Estimated work of the request, in a unit common to all requests. */
  readonly cost: number;
}

/** Queue that serves flows in proportion to their weights. */
export interface FairQueue<T extends QueuedWork> {
  readonly add: (work: T) => void;
  /** Removes the request without charging its flow; false if it is not queued. */
  readonly remove: (work: T) => boolean;
  /** Returns the request to serve next without removing it. */
  readonly getNext: () => T | undefined;
  /** Removes the request and charges its cost to its flow. */
  readonly dequeue: (work: T) => void;
  /** All waiting requests in the order in which they would be served. */
  readonly list: () => readonly T[];
  readonly getSize: () => number;
  /** Returns the request to drop when the queue is over its limit. */
  readonly findDropCandidate: () => T | undefined;
}

interface Flow<T> {
  readonly key: string;
  weight: number;
  /** Virtual time: cost served so far, divided by the weight. */
  served: number;
  readonly waiting: T[];
}

/** Weight factor by priority; each level weighs four times the one below. */
const priorityWeights: Readonly<Record<Priority, number>> = {
  [Priority.Batch]: 1,
  [Priority.Normal]: 4,
  [Priority.Interactive]: 16,
};

/** Creates an empty queue. */
export function createFairQueue<T extends QueuedWork>(): FairQueue<T> {
  const flows = new Map<string, Flow<T>>();
  let size = 0;
  /** Highest virtual time at which a request was served; flows that become active start at least here. */
  let level = 0;

  function removeWork(work: T): boolean {
    const flow = flows.get(getFlowKey(work));
    const index = flow?.waiting.indexOf(work) ?? -1;
    if (!flow || index < 0) return false;
    flow.waiting.splice(index, 1);
    size -= 1;
    return true;
  }

  /** Resets virtual times once the queue is empty, so that idle flows carry no credit or debt. */
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
      const insertAt = flow.waiting.findIndex((other) =>
        other.deadlineAtMs > work.deadlineAtMs
      );
      flow.waiting.splice(
        insertAt < 0 ? flow.waiting.length : insertAt,
        0,
        work,
      );
      size += 1;
    },
    remove(work): boolean {
      const removed = removeWork(work);
      clearWhenIdle();
      return removed;
    },
    getNext: () => findNext(flows)?.waiting[0],
    dequeue(work): void {
      const flow = flows.get(getFlowKey(work));
      if (!flow || !removeWork(work)) return;
      level = Math.max(level, flow.served);
      flow.served += work.cost / flow.weight;
      clearWhenIdle();
    },
    list: () => listInOrder(flows),
    getSize: () => size,
    findDropCandidate: () => findDropCandidate(flows),
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
  const ranked: { readonly work: T; readonly startTime: number }[] = [];
  for (const flow of flows.values()) {
    let startTime = flow.served;
    for (const work of flow.waiting) {
      ranked.push({ work, startTime });
      startTime += work.cost / flow.weight;
    }
  }
  ranked.sort((left, right) => left.startTime - right.startTime);
  return ranked.map((entry) => entry.work);
}

/** Returns the request with the latest deadline in the flow with the most queued cost per weight. */
function findDropCandidate<T extends QueuedWork>(
  flows: Map<string, Flow<T>>,
): T | undefined {
  let candidate: T | undefined;
  let most = -Infinity;
  for (const flow of flows.values()) {
    const waiting = flow.waiting.reduce((sum, work) => sum + work.cost, 0);
    if (flow.waiting.length === 0 || waiting / flow.weight <= most) continue;
    most = waiting / flow.weight;
    candidate = flow.waiting.at(-1);
  }
  return candidate;
}
