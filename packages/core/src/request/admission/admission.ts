/**
 * Admission control of one instance. A request waits in a weighted fair queue
 * until KV blocks, prefill capacity and a request slot are free. As soon as it
 * is estimated to miss its deadline, it is refused with a retry-after time.
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

/** A request to be admitted. */
export interface AdmissionRequest {
  readonly caller: string;
  /** Weight of the caller relative to other callers. */
  readonly share: number;
  readonly priority: Priority;
  /** Time from now by which the whole answer must be complete, in ms. */
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

/** Permission to run; it reserves capacity until it is closed. */
export interface AdmissionTicket {
  readonly expectedTokens: number;
  /** Time spent in the queue. */
  readonly waitedMs: number;
  /** Releases the prompt tokens reserved; only the first call has an effect. */
  readonly recordFirstToken: () => void;
  /** Releases the reserved capacity; further calls do nothing. */
  readonly close: (result: AdmissionResult) => void;
}

/** Current load of one instance's admission. */
export interface AdmissionState {
  readonly waiting: number;
  /** Work that this instance has in flight. */
  readonly inFlight: AdmissionUse;
}

/** Admission control of one instance. */
export interface Admission {
  /** Resolves once the request is admitted or refused. */
  readonly enter: (
    request: AdmissionRequest,
  ) => Promise<Either<Refusal, AdmissionTicket>>;
  /** Expected output tokens of a caller's request, at most `maxTokens`. */
  readonly estimateTokens: (caller: string, maxTokens: number) => number;
  readonly getState: () => AdmissionState;
  /** Refuses all waiting and all later requests. */
  readonly stop: () => void;
}

/** Options of the admission. */
export interface AdmissionOptions {
  /** Returns the limits of the instance's work in flight, given its current use. */
  readonly getCapacity: (own: AdmissionUse) => AdmissionCapacity;
  /** Maximum number of waiting requests; 512 by default. */
  readonly maxWaiting?: number;
}

interface WaitingRequest extends QueuedWork {
  readonly request: AdmissionRequest;
  readonly enqueuedMs: number;
  readonly expectedTokens: number;
  readonly kvBlocks: number;
  readonly answer: (result: Either<Refusal, AdmissionTicket>) => void;
}

const defaultMaxWaiting = 512;
/** Cost of one output token, in prompt tokens. */
const outputTokenCost = 8;
const reviewIntervalMs = 100;
/** Fraction of the time to the deadline that the estimated wait and service time may use. */
const usableTimeFraction = 0.85;
const minRetryAfterMs = 500;
const maxRetryAfterMs = 30_000;
const stoppingRetryAfterMs = 1_000;

/** Creates the admission control of one instance, with an empty queue. */
export function createAdmission(options: AdmissionOptions): Admission {
  const queue = createFairQueue<WaitingRequest>();
  const lengths = createLengthEstimator();
  const serviceTimes: Readonly<Record<Priority, ServiceTimes>> = {
    [Priority.Batch]: createServiceTimes(),
    [Priority.Normal]: createServiceTimes(),
    [Priority.Interactive]: createServiceTimes(),
  };
  const serviceRate = createServiceRate();
  const maxWaiting = options.maxWaiting ?? defaultMaxWaiting;
  const inFlight = { kvBlocks: 0, promptTokens: 0, requests: 0 };
  let stopped = false;
  let timer: NodeJS.Timeout | undefined;

  function refuse(waiting: WaitingRequest, refusal: Refusal): void {
    if (queue.remove(waiting)) waiting.answer(Left(refusal));
  }

  function admit(waiting: WaitingRequest): void {
    queue.dequeue(waiting);
    serviceRate.recordStart(waiting.cost);
    inFlight.requests += 1;
    inFlight.kvBlocks += waiting.kvBlocks;
    inFlight.promptTokens += waiting.request.promptTokens;
    waiting.answer(Right(openTicket(waiting)));
  }

  function openTicket(waiting: WaitingRequest): AdmissionTicket {
    const admittedMs = performance.now();
    let firstTokenMs: number | undefined;
    let closed = false;
    function recordFirstToken(): void {
      if (firstTokenMs !== undefined || closed) return;
      firstTokenMs = performance.now();
      inFlight.promptTokens -= waiting.request.promptTokens;
      serviceTimes[waiting.priority].recordFirstToken(
        firstTokenMs - admittedMs,
      );
      advanceQueue();
    }
    return {
      expectedTokens: waiting.expectedTokens,
      waitedMs: admittedMs - waiting.enqueuedMs,
      recordFirstToken,
      close(result): void {
        if (closed) return;
        closed = true;
        inFlight.requests -= 1;
        serviceRate.recordEnd(waiting.cost, performance.now() - admittedMs);
        inFlight.kvBlocks -= waiting.kvBlocks;
        if (firstTokenMs === undefined) {
          inFlight.promptTokens -= waiting.request.promptTokens;
        } else {
          const ms = performance.now() - firstTokenMs;
          serviceTimes[waiting.priority].recordTokens(
            ms,
            result.outputTokens - 1,
          );
        }
        if (result.outputTokens > 0) {
          lengths.record(waiting.caller, result.outputTokens);
        }
        advanceQueue();
      },
    };
  }

  /** Admits requests while capacity lasts, then refuses those expected to miss their deadlines. */
  function advanceQueue(): void {
    for (let next = queue.getNext(); next; next = queue.getNext()) {
      if (!hasCapacity(next)) break;
      admit(next);
    }
    refuseUnattainable();
    scheduleReview();
  }

  function hasCapacity(waiting: WaitingRequest): boolean {
    // A request larger than the whole capacity is admitted when nothing else is in flight.
    if (inFlight.requests === 0) return true;
    const capacity = options.getCapacity(inFlight);
    // A prompt may exceed the remaining prompt tokens; otherwise a long one would wait until all engines are idle.
    return inFlight.kvBlocks + waiting.kvBlocks <= capacity.kvBlocks &&
      inFlight.promptTokens < capacity.promptTokens &&
      inFlight.requests < capacity.requests;
  }

  function refuseUnattainable(): void {
    const nowMs = performance.now();
    const rate = serviceRate.getCostPerMs() ?? Infinity;
    let costAhead = 0;
    for (const waiting of queue.list()) {
      const waitMs = rate > 0 ? costAhead / rate : Infinity;
      const serviceMs = serviceTimes[waiting.priority].estimate(
        waiting.expectedTokens,
      );
      const leftMs = (waiting.deadlineAtMs - nowMs) * usableTimeFraction;
      const overrunMs = waitMs + serviceMs - leftMs;
      if (overrunMs > 0) refuse(waiting, buildOverload(overrunMs));
      else costAhead += waiting.cost;
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
    answer: WaitingRequest["answer"],
  ): WaitingRequest {
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
      enqueuedMs: nowMs,
      expectedTokens,
      kvBlocks: Math.ceil(tokens / kvBlockTokens),
      answer,
    };
  }

  function addWaiting(waiting: WaitingRequest): void {
    queue.add(waiting);
    const signal = waiting.request.signal;
    signal?.addEventListener(
      "abort",
      () => refuse(waiting, buildCancelled()),
      { once: true },
    );
    if (queue.getSize() > maxWaiting) {
      const dropped = queue.findDropCandidate();
      if (dropped) refuse(dropped, buildOverload(estimateDrainMs()));
    }
    advanceQueue();
  }

  /** Estimates the time to serve the whole queue at the current rate. */
  function estimateDrainMs(): number {
    const rate = serviceRate.getCostPerMs() ?? 0;
    const cost = queue.list().reduce((sum, waiting) => sum + waiting.cost, 0);
    return rate > 0 ? cost / rate : minRetryAfterMs;
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
    getState: () => ({ waiting: queue.getSize(), inFlight: { ...inFlight } }),
    stop(): void {
      stopped = true;
      clearTimeout(timer);
      for (const waiting of queue.list()) refuse(waiting, buildStopping());
    },
  };
}

function buildOverload(overrunMs: number): Refusal {
  return {
    reason: RefusalReason.Overloaded,
    outcome: Outcome.NotRun,
    message: "The answer could not be complete in time",
    retryAfterMs: Math.round(
      Math.min(Math.max(overrunMs, minRetryAfterMs), maxRetryAfterMs),
    ),
  };
}

function buildStopping(): Refusal {
  return {
    reason: RefusalReason.Stopping,
    outcome: Outcome.NotRun,
    message: "The instance is stopping",
    retryAfterMs: stoppingRetryAfterMs,
  };
}

function buildCancelled(): Refusal {
  return {
    reason: RefusalReason.Stopping,
    outcome: Outcome.NotRun,
    message: "The caller has cancelled the request",
  };
}
