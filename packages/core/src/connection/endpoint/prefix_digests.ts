/** Digests of prompt prefixes, by which engines and instances identify cached KV blocks. */
import { digestText } from "../../shared/digests.ts";
import { kvBlockTokens } from "../../types/endpoints.ts";

/** Inputs that determine the content of a KV cache. */
export interface PrefixSource {
  readonly model: string;
  readonly adapter?: string;
  readonly prompt: string;
}

const digestLength = 16;

/** Splits a prompt into its tokens, which are its whitespace-separated words. */
export function splitTokens(prompt: string): readonly string[] {
  return prompt.split(/\s+/).filter((word) => word !== "");
}

/** Computes a digest for each full KV block of the prompt; each covers its block and all blocks before it. */
export function computePrefixDigests(source: PrefixSource): readonly string[] {
  const tokens = splitTokens(source.prompt);
  const blocks = Math.floor(tokens.length / kvBlockTokens);
  const digests: string[] = [];
  let previous = `${source.model}/${source.adapter ?? ""}`;
  for (let block = 0; block < blocks; block++) {
    const start = block * kvBlockTokens;
    const words = tokens.slice(start, start + kvBlockTokens).join(" ");
    previous = digestText(`${previous}\n${words}`).slice(0, digestLength);
    digests.push(previous);
  }
  return digests;
}
