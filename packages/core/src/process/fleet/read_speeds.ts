/** How fast a pool's engines compute prompts, learnt from exports. */
import type { ServiceName } from "../../types/index.ts";

/** Learnt speeds. */
export interface ReadSpeeds {
  /** Prompt tokens that a prefill engine of the pool computes in a ms. */
  readonly getTokensPerMs: (service: ServiceName) => number;
  /** Takes one export: tokens ahead of it and its own, and how long it took. */
  readonly noteRead: (
    service: ServiceName,
    read: { readonly tokens: number; readonly tookMs: number },
  ) => void;
}

/** Speed before the first export, in tokens per ms: a 70B model on eight accelerators. */
const firstTokensPerMs = 50;
const learningShare = 0.05;
/** Shorter reads tell more of the links than of the engine. */
const leastReadTokens = 2_000;
/** Time of an export besides computing, in ms: links, setup and one step. */
const fixedReadMs = 25;
/** One sample moves the estimate by this factor at most. */
const clipFactor = 2;

/** Creates the speeds of one instance. */
export function createReadSpeeds(): ReadSpeeds {
  const speeds = new Map<ServiceName, number>();
  const getTokensPerMs = (service: ServiceName): number =>
    speeds.get(service) ?? firstTokensPerMs;
  return {
    getTokensPerMs,
    noteRead(service, { tokens, tookMs }): void {
      if (tokens < leastReadTokens || tookMs <= fixedReadMs) return;
      const known = getTokensPerMs(service);
      const sample = tokens / (tookMs - fixedReadMs);
      const clipped = Math.min(
        Math.max(sample, known / clipFactor),
        known * clipFactor,
      );
      speeds.set(service, known + (clipped - known) * learningShare);
    },
  };
}
