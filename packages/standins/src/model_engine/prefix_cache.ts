/** Cache of prompt prefixes in the KV blocks that running sequences leave free. */

/** The cache of one engine; digests name blocks, most recently used first. */
export interface PrefixCache {
  /** Counts the leading blocks of a prompt that are cached. */
  readonly countCached: (digests: readonly string[]) => number;
  /** Adds a computed prompt and evicts down to `capacity` blocks. */
  readonly add: (digests: readonly string[], capacity: number) => void;
  /** Evicts the least recently used blocks down to `capacity`. */
  readonly evict: (capacity: number) => void;
  /** Digests as reports show them: with gaps, most recent first. */
  readonly listReported: () => readonly string[];
  readonly clear: () => void;
}

/** Creates an empty cache; `gapShare` of the added blocks stays unreported. */
export function createPrefixCache(
  options: { readonly gapShare: number; readonly random: () => number },
): PrefixCache {
  // Iteration order of a Map is insertion order: the last entry is the most recent.
  const reported = new Map<string, boolean>();
  const evict = (capacity: number): void => {
    for (const digest of reported.keys()) {
      if (reported.size <= capacity) return;
      reported.delete(digest);
    }
  };
  return {
    countCached: (digests) => {
      const missing = digests.findIndex((digest) => !reported.has(digest));
      return missing === -1 ? digests.length : missing;
    },
    add: (digests, capacity) => {
      // Later blocks are useless without the first, so the first is evicted last.
      for (const digest of [...digests].reverse()) {
        const shown = reported.get(digest) ??
          options.random() >= options.gapShare;
        reported.delete(digest);
        reported.set(digest, shown);
      }
      evict(capacity);
    },
    evict,
    listReported: () =>
      [...reported].reverse().flatMap(([digest, shown]) =>
        shown ? [digest] : []
      ),
    clear: () => reported.clear(),
  };
}
