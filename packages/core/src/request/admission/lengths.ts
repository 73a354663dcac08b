/** Output lengths and service times, learnt from answers that ended. */

/** Learns the output length of each caller's requests. */
export interface LengthEstimator {
  readonly learn: (caller: string, outputTokens: number) => void;
  /** Expected output tokens, at most `maxTokens`. */
  readonly estimate: (caller: string, maxTokens: number) => number;
}

/** Learns how long answers take. */
export interface ServiceTimes {
  readonly learnFirstToken: (ms: number) => void;
  readonly learnTokens: (ms: number, tokens: number) => void;
  /** Expected time from dispatch to the last token, in ms. */
  readonly estimate: (outputTokens: number) => number;
}

const maxCallers = 4_096;
const priorTokens = 256;
const learningRate = 0.05;
/** Estimates lie above this share of the lengths seen. */
const lengthQuantile = 0.7;
/** Weight that earlier ends keep at each further one. */
const keptShare = 0.96;
const priorFirstTokenMs = 200;
const priorTokenMs = 30;

/** Creates an estimator that follows a quantile of each caller's lengths. */
export function createLengthEstimator(): LengthEstimator {
  const lengths = new Map<string, number>();
  return {
    learn(caller, outputTokens): void {
      const known = lengths.get(caller);
      const start = known ?? outputTokens;
      const step = Math.max(start, 1) * learningRate;
      const moved = outputTokens > start
        ? start + step * lengthQuantile
        : start - step * (1 - lengthQuantile);
      lengths.delete(caller);
      lengths.set(caller, known === undefined ? start : moved);
      removeOldest(lengths);
    },
    estimate: (caller, maxTokens) =>
      Math.min(lengths.get(caller) ?? priorTokens, maxTokens),
  };
}

/** Speed at which work ends, by Little's law. */
export interface ServiceRate {
  readonly noteStarted: (cost: number) => void;
  readonly noteEnded: (cost: number, ms: number) => void;
  /** Cost that ends per ms with as much running as now; undefined before the first end. */
  readonly getPerMs: () => number | undefined;
}

/**
 * Creates an estimate of the rate from the cost in flight and the mean time
 * that a unit of cost stays; it holds also when the load has just risen.
 */
export function createServiceRate(): ServiceRate {
  let running = 0;
  let ended = 0;
  let endedTimesMs = 0;
  return {
    noteStarted: (cost) => void (running += cost),
    noteEnded(cost, ms): void {
      running -= cost;
      ended = ended * keptShare + cost;
      endedTimesMs = endedTimesMs * keptShare + cost * ms;
    },
    getPerMs: () =>
      endedTimesMs > 0 ? running * ended / endedTimesMs : undefined,
  };
}

/** Creates averages of the time to the first token and between tokens. */
export function createServiceTimes(): ServiceTimes {
  let firstTokenMs = priorFirstTokenMs;
  let tokenMs = priorTokenMs;
  return {
    learnFirstToken(ms): void {
      firstTokenMs += (ms - firstTokenMs) * learningRate;
    },
    learnTokens(ms, tokens): void {
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
