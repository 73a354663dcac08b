/**
 * Admission of requests at one instance. A request waits in a weighted fair
 * queue until KV memory and prompt work for it are free. One that can no
 * longer end in time is refused at that moment, with the time to come back.
 */
import { type Either, Left, Right } from "purify-ts";
import {
  kvBlockTokens,
  Outcome,
  Priority,
  type Refusal,
  RefusalReason,
} from "../../types/index.ts";
import type { AdmissionCapacity, AdmissionUse } from "./capacity.ts";
import {
  createLengthEstimator,
  createServiceRate,
  createServiceTimes,
  type ServiceTimes,
} from "./lengths.ts";
import { createFairQueue, type QueuedWork } from "./queue.ts";

/** A request that asks to run. */
export interface AdmissionRequest {
  readonly caller: string;
  /** Share of the caller in relation to others. */
  readonly share: number;
  readonly priority: Priority;
  /** Time in which the whole answer is useful, from now, in ms. */
  readonly deadlineMs: number;
  readonly promptTokens: number;
  readonly maxTokens: number;
  readonly signal?: AbortSignal;
}

/** How an admitted request ended. */
export interface AdmissionResult {
  readonly outputTokens: number;
  /** Whether the answer was complete within its deadline. */
  readonly useful: boolean;
}

/** Permission to run, which holds memory until it is closed. */
export interface AdmissionTicket {
  readonly expectedTokens: number;
  readonly waitedMs: number;
  readonly noteFirstToken: () => void;
  /** Frees what is held; further calls do nothing. */
  readonly close: (result: AdmissionResult) => void;
}

/** Counters of one instance's admission. */
export interface AdmissionState {
  readonly waiting: number;
  readonly own: AdmissionUse;
}

/** Admission of one instance. */
export interface Admission {
  readonly enter: (
    request: AdmissionRequest,
  ) => Promise<Either<Refusal, AdmissionTicket>>;
  /** Expected output tokens of a caller's request. */
  readonly estimateTokens: (caller: string, maxTokens: number) => number;
  readonly getState: () => AdmissionState;
  /** Refuses what waits, and all that comes. */
  readonly stop: () => void;
}

/** Options of the admission. */
export interface AdmissionOptions {
  /** What the instance may have in flight, given what it has. */
  readonly getCapacity: (own: AdmissionUse) => AdmissionCapacity;
  /** Most requests that wait; by default 512. */
  readonly maxWaiting?: number;
}

interface Waiting extends QueuedWork {
  readonly request: AdmissionRequest;
  readonly enteredMs: number;
  readonly expectedTokens: number;
  readonly kvBlocks: number;
  readonly answer: (result: Either<Refusal, AdmissionTicket>) => void;
}

const defaultMaxWaiting = 512;
/** Cost of an output token in prompt tokens. */
const outputTokenCost = 8;
const reviewIntervalMs = 100;
/** Part of the time left that estimates may fill. */
const usableSlack = 0.85;
const leastRetryMs = 500;
const mostRetryMs = 30_000;
const stoppingRetryMs = 1_000;

/** Creates the admission of one instance. */
export function createAdmission(options: AdmissionOptions): Admission {
  const queue = createFairQueue<Waiting>();
  const lengths = createLengthEstimator();
  const times: Readonly<Record<Priority, ServiceTimes>> = {
    [Priority.Batch]: createServiceTimes(),
    [Priority.Normal]: createServiceTimes(),
    [Priority.Interactive]: createServiceTimes(),
  };
  const speed = createServiceRate();
  const maxWaiting = options.maxWaiting ?? defaultMaxWaiting;
  const own = { kvBlocks: 0, promptTokens: 0, requests: 0 };
  let stopped = false;
  let timer: NodeJS.Timeout | undefined;

  function refuse(waiting: Waiting, refusal: Refusal): void {
    if (queue.remove(waiting)) waiting.answer(Left(refusal));
  }

  function admit(waiting: Waiting): void {
    queue.pick(waiting);
    speed.noteStarted(waiting.cost);
    own.requests += 1;
    own.kvBlocks += waiting.kvBlocks;
    own.promptTokens += waiting.request.promptTokens;
    waiting.answer(Right(openTicket(waiting)));
  }

  function openTicket(waiting: Waiting): AdmissionTicket {
    const admittedMs = performance.now();
    let firstTokenMs: number | undefined;
    let closed = false;
    function noteFirstToken(): void {
      if (firstTokenMs !== undefined || closed) return;
      firstTokenMs = performance.now();
      own.promptTokens -= waiting.request.promptTokens;
      times[waiting.priority].learnFirstToken(firstTokenMs - admittedMs);
      advanceQueue();
    }
    return {
      expectedTokens: waiting.expectedTokens,
      waitedMs: admittedMs - waiting.enteredMs,
      noteFirstToken,
      close(result): void {
        if (closed) return;
        closed = true;
        own.requests -= 1;
        speed.noteEnded(waiting.cost, performance.now() - admittedMs);
        own.kvBlocks -= waiting.kvBlocks;
        if (firstTokenMs === undefined) {
          own.promptTokens -= waiting.request.promptTokens;
        } else {
          const ms = performance.now() - firstTokenMs;
          times[waiting.priority].learnTokens(ms, result.outputTokens - 1);
        }
        if (result.outputTokens > 0) {
          lengths.learn(waiting.caller, result.outputTokens);
        }
        advanceQueue();
      },
    };
  }

  /** Admits what fits, then refuses what can no longer end in time. */
  function advanceQueue(): void {
    for (let next = queue.look(); next; next = queue.look()) {
      if (!hasRoom(next)) break;
      admit(next);
    }
    refuseHopeless();
    scheduleReview();
  }

  function hasRoom(waiting: Waiting): boolean {
    // A request larger than the whole share runs when nothing else does.
    if (own.requests === 0) return true;
    const capacity = options.getCapacity(own);
    // A long prompt may exceed what is left, or it would wait for an idle fleet.
    return own.kvBlocks + waiting.kvBlocks <= capacity.kvBlocks &&
      own.promptTokens < capacity.promptTokens &&
      own.requests < capacity.requests;
  }

  function refuseHopeless(): void {
    const nowMs = performance.now();
    const rate = speed.getPerMs() ?? Infinity;
    let ahead = 0;
    for (const waiting of queue.list()) {
      const waitMs = rate > 0 ? ahead / rate : Infinity;
      const serviceMs = times[waiting.priority].estimate(
        waiting.expectedTokens,
      );
      const leftMs = (waiting.deadlineAtMs - nowMs) * usableSlack;
      const lateMs = waitMs + serviceMs - leftMs;
      if (lateMs > 0) refuse(waiting, buildOverload(lateMs));
      else ahead += waiting.cost;
    }
  }

  function scheduleReview(): void {
    if (timer || queue.getSize() === 0) return;
    timer = setTimeout(() => {
      timer = undefined;
      advanceQueue();
    }, reviewIntervalMs);
  }

  function buildWaiting(
    request: AdmissionRequest,
    answer: Waiting["answer"],
  ): Waiting {
    const nowMs = performance.now();
    const expectedTokens = lengths.estimate(request.caller, request.maxTokens);
    const tokens = request.promptTokens + expectedTokens;
    return {
      request,
      caller: request.caller,
      share: request.share,
      priority: request.priority,
      deadlineAtMs: nowMs + request.deadlineMs,
      cost: request.promptTokens + expectedTokens * outputTokenCost,
      enteredMs: nowMs,
      expectedTokens,
      kvBlocks: Math.ceil(tokens / kvBlockTokens),
      answer,
    };
  }

  function addWaiting(waiting: Waiting): void {
    queue.add(waiting);
    const signal = waiting.request.signal;
    signal?.addEventListener(
      "abort",
      () => refuse(waiting, buildCancelled()),
      { once: true },
    );
    if (queue.getSize() > maxWaiting) {
      const least = queue.findLeast();
      if (least) refuse(least, buildOverload(estimateDrainMs()));
    }
    advanceQueue();
  }

  function estimateDrainMs(): number {
    const rate = speed.getPerMs() ?? 0;
    const cost = queue.list().reduce((sum, waiting) => sum + waiting.cost, 0);
    return rate > 0 ? cost / rate : leastRetryMs;
  }

  return {
    enter(request): Promise<Either<Refusal, AdmissionTicket>> {
      if (stopped) return Promise.resolve(Left(buildStopping()));
      if (request.signal?.aborted) {
        return Promise.resolve(Left(buildCancelled()));
      }
      return new Promise((resolve) =>
        addWaiting(buildWaiting(request, resolve))
      );
    },
    estimateTokens: lengths.estimate,
    getState: () => ({ waiting: queue.getSize(), own: { ...own } }),
    stop(): void {
      stopped = true;
      clearTimeout(timer);
      for (const waiting of queue.list()) refuse(waiting, buildStopping());
    },
  };
}

function buildOverload(lateMs: number): Refusal {
  return {
    reason: RefusalReason.Overloaded,
    outcome: Outcome.NotRun,
    message: "The answer could not be complete in time",
    retryAfterMs: Math.round(
      Math.min(Math.max(lateMs, leastRetryMs), mostRetryMs),
    ),
  };
}

function buildStopping(): Refusal {
  return {
    reason: RefusalReason.Stopping,
    outcome: Outcome.NotRun,
    message: "The instance is stopping",
    retryAfterMs: stoppingRetryMs,
  };
}

function buildCancelled(): Refusal {
  return {
    reason: RefusalReason.Stopping,
    outcome: Outcome.NotRun,
    message: "The caller has cancelled the request",
  };
}
