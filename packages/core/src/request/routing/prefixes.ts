/** Token counts and prefix digests of prompts, the same on every instance and engine. */
import xxhash from "xxhash-wasm";
import { kvBlockTokens } from "../../types/index.ts";

const hasher = await xxhash();

/** Characters that stand for one token where no tokenizer is at hand. */
export const charactersPerToken = 4;

const digestCharacters = 16;
const maxPrefixBlocks = 256;

/** Tokens of a text, estimated from its length. */
export function countTokens(text: string): number {
  return Math.ceil(text.length / charactersPerToken);
}

/**
 * Digests of a prompt's prefixes, one per full KV block, shortest first. Each
 * covers all blocks before it and the model, so equal digests mean equal cache
 * contents.
 */
export function digestPrefixes(
  prompt: string,
  model = "",
): readonly string[] {
  const blockLength = kvBlockTokens * charactersPerToken;
  const blocks = Math.min(
    Math.floor(prompt.length / blockLength),
    maxPrefixBlocks,
  );
  const digests: string[] = [];
  let previous = model;
  for (let block = 0; block < blocks; block++) {
    const text = prompt.slice(block * blockLength, (block + 1) * blockLength);
    previous = hashText(`${previous}\n${text}`);
    digests.push(previous);
  }
  return digests;
}

/** 64-bit hash of a text, in hexadecimal; no protection against forgery. */
export function hashText(text: string): string {
  return hasher.h64ToString(text).padStart(digestCharacters, "0");
}

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
