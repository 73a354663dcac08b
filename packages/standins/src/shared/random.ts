/** Seeded random numbers. */
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

const discardedDraws = 64;

/** Creates a generator of numbers from 0 to 1, the same for the same seed. */
export function createRandom(seed: number): () => number {
  const generator = xoroshiro128plus(seed);
  // The first numbers of small seeds are alike.
  for (let draw = 0; draw < discardedDraws; draw++) generator.next();
  return () => uniformFloat64(generator);
}
