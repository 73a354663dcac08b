/** Bundles as commented YAML, for operators to edit. */
import { Document, isMap, isScalar } from "yaml";
import type { Bundle } from "../../types/index.ts";

const comments: Readonly<Record<string, string>> = {
  version: " Raise by one for each change; the parent is the version in force.",
  author: " Who signs off; shown to others who change the fleet.",
  "failure_domains": " Failure domains, with one-way delays in ms.",
  pools: " Pools of model engines: what runs, and in which roles it starts.\n" +
    " fence_check: whether the engines refuse orders with an old number.",
  services: " Plain services. Calls by other than the idempotent methods run" +
    " at most once.",
  callers: " Callers with the SHA-256 of their API key; 64 zeros lock one out.",
  objectives: " Service levels for each group of callers.",
};

/** Formats a bundle as YAML with a comment before each section. */
export function formatBundle(bundle: Bundle): string {
  const document = new Document(bundle);
  if (!isMap(document.contents)) return document.toString();
  for (const pair of document.contents.items) {
    if (!isScalar(pair.key)) continue;
    const comment = comments[String(pair.key.value)];
    if (comment !== undefined) pair.key.commentBefore = comment;
  }
  return document.toString({ lineWidth: 0 });
}
