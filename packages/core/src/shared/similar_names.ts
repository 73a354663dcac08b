/** Hints for misspelt names. */
import { closest, distance } from "fastest-levenshtein";

const maxHintDistance = 3;

/** Returns the known name that a misspelt one probably means. */
export function findSimilarName(
  name: string,
  known: readonly string[],
): string | undefined {
  if (known.length === 0) return undefined;
  const longer = known.find((candidate) => candidate.startsWith(name));
  if (longer !== undefined && name !== "") return longer;
  const candidate = closest(name, [...known]);
  const bound = Math.min(maxHintDistance, Math.ceil(name.length / 2));
  return distance(name, candidate) <= bound ? candidate : undefined;
}

/** Formats the hint for a misspelt name; undefined when nothing is similar. */
export function formatHint(
  name: string,
  known: readonly string[],
): string | undefined {
  const similar = findSimilarName(name, known);
  return similar === undefined ? undefined : `did you mean "${similar}"`;
}
