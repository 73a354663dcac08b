/** Stable orders of names by hashing. */
import xxhash from "xxhash-wasm";

const hasher = await xxhash();

/** Sorts names by rendezvous hashing: each key has its own stable order. */
export function sortByRendezvous(
  key: string,
  names: readonly string[],
): readonly string[] {
  const ranked = names.map((name) => ({
    name,
    weight: hasher.h64(`${key}\n${name}`),
  }));
  ranked.sort((left, right) => left.weight < right.weight ? 1 : -1);
  return ranked.map((entry) => entry.name);
}
