/** Seeded load: kinds of requests whose shares swing between phases. */
import { kvBlockTokens, Priority } from "@trefoildoor/core";
import { createRandom, drawInteger, drawIntervalMs } from "./random.ts";

/** A kind of request. */
export interface RequestKind {
  readonly caller: string;
  readonly share: number;
  readonly priority: Priority;
  readonly deadlineMs: number;
  readonly promptTokens: readonly [number, number];
  readonly outputTokens: readonly [number, number];
  readonly maxTokens: number;
  /** Blocks at the prompt's start that are common to some requests. */
  readonly sharedBlocks: number;
  /** How many different beginnings there are. */
  readonly sharedPrefixes: number;
}

/** A time during which the mix holds. */
export interface Phase {
  readonly fromMs: number;
  readonly toMs: number;
  readonly requestsPerSecond: number;
  /** Share of each kind, in the order of the kinds. */
  readonly weights: readonly number[];
}

/** One request of the load. */
export interface LoadRequest {
  readonly atMs: number;
  readonly kind: RequestKind;
  readonly promptTokens: number;
  readonly outputTokens: number;
  readonly prefixes: readonly string[];
}

/** A load, with the mix that it is drawn from. */
export interface Load {
  readonly phases: readonly Phase[];
  readonly kinds: readonly RequestKind[];
  readonly requests: readonly LoadRequest[];
}

/** Draws the requests of all phases. */
export function generateLoad(
  kinds: readonly RequestKind[],
  phases: readonly Phase[],
  options: { readonly seed: number },
): Load {
  const random = createRandom(options.seed);
  const requests: LoadRequest[] = [];
  for (const phase of phases) {
    let atMs = phase.fromMs;
    while (true) {
      atMs += drawIntervalMs(random, phase.requestsPerSecond);
      if (atMs >= phase.toMs) break;
      const kind = pickKind(kinds, phase.weights, { random });
      requests.push(drawRequest(kind, { random, atMs }));
    }
  }
  return { phases, kinds, requests };
}

function pickKind(
  kinds: readonly RequestKind[],
  weights: readonly number[],
  options: { readonly random: () => number },
): RequestKind {
  const total = weights.reduce((sum, weight) => sum + weight, 0);
  let left = options.random() * total;
  for (const [index, kind] of kinds.entries()) {
    left -= weights[index] ?? 0;
    if (left < 0) return kind;
  }
  throw new Error("The load has no kinds");
}

function drawRequest(
  kind: RequestKind,
  options: { readonly random: () => number; readonly atMs: number },
): LoadRequest {
  const { random, atMs } = options;
  const promptTokens = drawInteger(random, kind.promptTokens);
  const outputTokens = drawInteger(random, kind.outputTokens);
  const blocks = Math.floor(promptTokens / kvBlockTokens);
  const beginning = drawInteger(random, [
    0,
    Math.max(kind.sharedPrefixes - 1, 0),
  ]);
  const unique = random().toString(36).slice(2, 12);
  const prefixes = Array.from(
    { length: blocks },
    (_, index) =>
      index < kind.sharedBlocks
        ? `${kind.caller}-${beginning}-${index}`
        : `${unique}-${index}`,
  );
  return { atMs, kind, promptTokens, outputTokens, prefixes };
}
