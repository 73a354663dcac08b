/** Running estimates of output lengths, service times and the service rate. */

/** Estimates the output length of requests per caller. */
export interface LengthEstimator {
  /** Updates the caller's estimate with the length of a finished answer. */
  readonly record: (caller: string, outputTokens: number) => void;
  /** Expected output tokens, at most `maxTokens`. */
  readonly estimate: (caller: string, maxTokens: number) => number;
}

/** Estimates how long answers take. */
export interface ServiceTimes {
  readonly recordFirstToken: (ms: number) => void;
  readonly recordTokens: (ms: number, tokens: number) => void;
  /** Expected time from dispatch to the last token, in ms. */
  readonly estimate: (outputTokens: number) => number;
}

const maxCallers = 4_096;
const initialOutputTokens = 256;
const learningRate = 0.05;
/** Quantile of the observed lengths that the estimate tracks. */
const lengthQuantile = 0.7;
/** Factor applied to the sums of earlier requests each time that a request ends. */
const decayFactor = 0.96;
const initialFirstTokenMs = 200;
const initialTokenMs = 30;

/** Creates an estimator that tracks a quantile of each caller's output lengths, up to a fixed number of callers. */
export function createLengthEstimator(): LengthEstimator {
  const lengths = new Map<string, number>();
  return {
    record(caller, outputTokens): void {
      const previous = lengths.get(caller);
      const start = previous ?? outputTokens;
      const step = Math.max(start, 1) * learningRate;
      const adjusted = outputTokens > start
        ? start + step * lengthQuantile
        : start - step * (1 - lengthQuantile);
      lengths.delete(caller);
      lengths.set(caller, previous === undefined ? start : adjusted);
      removeOldest(lengths);
    },
    estimate: (caller, maxTokens) =>
      Math.min(lengths.get(caller) ?? initialOutputTokens, maxTokens),
  };
}

/** Rate at which running work completes, by Little's law. */
export interface ServiceRate {
  readonly recordStart: (cost: number) => void;
  readonly recordEnd: (cost: number, ms: number) => void;
  /** Cost completed per ms at the current cost in flight; undefined until a request has ended. */
  readonly getCostPerMs: () => number | undefined;
}

/**
 * Creates an estimate of the service rate: the cost in flight divided by the
 * mean time that a unit of cost is in flight. It remains valid right after a
 * rise in load.
 */
export function createServiceRate(): ServiceRate {
  let running = 0;
  let ended = 0;
  let endedCostMs = 0;
  return {
    recordStart: (cost) => void (running += cost),
    recordEnd(cost, ms): void {
      running -= cost;
      ended = ended * decayFactor + cost;
      endedCostMs = endedCostMs * decayFactor + cost * ms;
    },
    getCostPerMs: () =>
      endedCostMs > 0 ? running * ended / endedCostMs : undefined,
  };
}

/** Creates exponential moving averages of the time to first token and the time between tokens. */
export function createServiceTimes(): ServiceTimes {
  let firstTokenMs = initialFirstTokenMs;
  let tokenMs = initialTokenMs;
  return {
    recordFirstToken(ms): void {
      firstTokenMs += (ms - firstTokenMs) * learningRate;
    },
    recordTokens(ms, tokens): void {
      if (tokens < 1) return;
      tokenMs += (ms / tokens - tokenMs) * learningRate;
    },
    estimate: (outputTokens) => firstTokenMs + outputTokens * tokenMs,
  };
}

function removeOldest(lengths: Map<string, number>): void {
  const oldest = lengths.keys().next();
  if (lengths.size > maxCallers && !oldest.done) lengths.delete(oldest.value);
}
