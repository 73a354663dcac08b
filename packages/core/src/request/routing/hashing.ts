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

/** The name with the highest rendezvous weight for the key, the first of `sortByRendezvous`; undefined without names. */
export function findByRendezvous(
  key: string,
  names: Iterable<string>,
): string | undefined {
  let found: string | undefined;
  let highest = -1n;
  for (const name of names) {
    const weight = hasher.h64(`${key}\n${name}`);
    if (weight <= highest) continue;
    found = name;
    highest = weight;
  }
  return found;
}
