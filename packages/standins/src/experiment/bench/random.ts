/** Seeded random numbers of experiments. */
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

/** Creates a generator of numbers uniform in [0, 1). */
export function createRandom(seed: number): () => number {
  const generator = xoroshiro128plus(seed);
  return () => uniformFloat64(generator);
}

/** Draws an integer between two bounds, both included. */
export function drawInteger(
  random: () => number,
  [low, high]: readonly [number, number],
): number {
  return low + Math.floor(random() * (high - low + 1));
}

/** Draws a time between two events of a Poisson process, in ms. */
export function drawIntervalMs(
  random: () => number,
  perSecond: number,
): number {
  return -Math.log(1 - random()) * 1_000 / perSecond;
}
