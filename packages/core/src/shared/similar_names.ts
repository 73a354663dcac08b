/** Suggestions of known names for misspelt ones, by edit distance. */
import { closest, distance } from "fastest-levenshtein";

const maxHintDistance = 3;

/** Finds a known name that starts with `name` or is at most 3 edits away; undefined if none. */
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

/** Formats a hint with the similar known name; undefined if none is similar. */
export function formatHint(
  name: string,
  known: readonly string[],
): string | undefined {
  const similar = findSimilarName(name, known);
  return similar === undefined ? undefined : `did you mean "${similar}"`;
}
