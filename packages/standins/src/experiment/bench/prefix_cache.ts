/** Prefix cache of a fake engine: the most recent prefixes, one KV block each. */
import { kvBlockTokens } from "@trefoildoor/core";

/** The cache. */
export interface PrefixCache {
  readonly add: (prefixes: readonly string[]) => void;
  /** Tokens of the longest cached prefix. */
  readonly countTokens: (prefixes: readonly string[]) => number;
  /** Digests, most recent first. */
  readonly list: () => readonly string[];
  readonly clear: () => void;
}

/** Creates an empty cache. */
export function createPrefixCache(maxBlocks: number): PrefixCache {
  const blocks = new Set<string>();
  function addOne(digest: string): void {
    blocks.delete(digest);
    blocks.add(digest);
  }
  return {
    add(prefixes): void {
      prefixes.toReversed().forEach(addOne);
      for (const oldest of blocks) {
        if (blocks.size <= maxBlocks) return;
        blocks.delete(oldest);
      }
    },
    countTokens(prefixes): number {
      const missing = prefixes.findIndex((digest) => !blocks.has(digest));
      const held = missing < 0 ? prefixes.length : missing;
      prefixes.slice(0, held).toReversed().forEach(addOne);
      return held * kvBlockTokens;
    },
    list: () => [...blocks].toReversed(),
    clear: () => blocks.clear(),
  };
}
