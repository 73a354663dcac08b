/** Maps paths in a YAML document to lines and columns. */
import {
  type Document,
  isCollection,
  isMap,
  isScalar,
  type LineCounter,
  type Node,
} from "yaml";
import type { SourcePlace } from "../types/index.ts";

/** Line and column of a value, both from 1 and absent if it has none, and its path. */
export type DocumentPlace = Omit<SourcePlace, "source">;

/**
 * Finds the line and column of the value at a path, or of its key in a map.
 * Falls back to the nearest enclosing value if the path does not exist.
 */
export function findPlace(
  document: Document,
  lines: LineCounter,
  options: { readonly path: readonly PropertyKey[] },
): DocumentPlace {
  const keys = options.path.map((key) =>
    typeof key === "number" ? key : String(key)
  );
  const path = keys.length === 0 ? {} : { path: keys.join(".") };
  const node = findNode(document, keys);
  if (!node?.range) return path;
  const { line, col } = lines.linePos(node.range[0]);
  return { line, column: col, ...path };
}

function findNode(
  document: Document,
  keys: readonly (string | number)[],
): Node | undefined {
  let node = document.contents ?? undefined;
  for (const [index, key] of keys.entries()) {
    if (!isCollection(node)) return node;
    if (isMap(node)) {
      const pair = node.items.find((item) => getKey(item.key) === String(key));
      if (!pair) return node;
      const isLast = index === keys.length - 1;
      if (isLast || !pair.value) return pair.key as Node;
      node = pair.value as Node;
      continue;
    }
    const item = node.get(key, true) as Node | undefined;
    if (!item) return node;
    node = item;
  }
  return node;
}

function getKey(key: unknown): string {
  return String(isScalar(key) ? key.value : key);
}
