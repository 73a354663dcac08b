/** Rendezvous hashing. */
import xxhash from "xxhash-wasm";

const hasher = await xxhash();

/** Sorts names by their rendezvous weight for the key, highest first; the order of two names depends on no other name. */
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
