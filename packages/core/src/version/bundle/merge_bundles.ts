/** New versions from existing ones: a rebase onto a newer parent, and a rollback. */
import { isDeepStrictEqual } from "node:util";
import { type Either, Left, Right } from "purify-ts";
import type { Bundle } from "../../types/index.ts";

/** A value that both sides changed in different ways. */
export interface BundleConflict {
  /** Path by names, for instance `pools.drafting.models.writer.version`. */
  readonly path: string;
  readonly base: unknown;
  readonly mine: unknown;
  readonly theirs: unknown;
}

/** Options of `rebaseBundle`. */
export interface RebaseOptions {
  /** The version from which the bundle was made. */
  readonly base: Bundle;
  /** The version in force, which becomes the new parent. */
  readonly onto: Bundle;
}

/** Options of `rollBackBundle`. */
export interface RollBackOptions {
  /** The version in force, which becomes the parent. */
  readonly inForce: Bundle;
  readonly author: string;
  readonly note?: string;
}

/**
 * Carries a bundle's changes over to a newer parent. Returns every value that
 * both sides changed differently. The result needs `listBundleFaults`: two
 * valid changes may contradict each other.
 */
export function rebaseBundle(
  bundle: Bundle,
  options: RebaseOptions,
): Either<readonly BundleConflict[], Bundle> {
  const { base, onto } = options;
  const conflicts: BundleConflict[] = [];
  const sides = {
    base: getContent(base),
    mine: getContent(bundle),
    theirs: getContent(onto),
  };
  const merged = mergeValues(sides, { path: [], conflicts });
  if (conflicts.length > 0) return Left(conflicts);
  return Right({
    ...merged as BundleContent,
    version: onto.version + 1,
    parent: onto.version,
    author: bundle.author,
    note: bundle.note,
  });
}

/** Makes a new version with the content of an old one. */
export function rollBackBundle(
  old: Bundle,
  options: RollBackOptions,
): Bundle {
  const { inForce, author } = options;
  return {
    ...old,
    version: inForce.version + 1,
    parent: inForce.version,
    author,
    note: options.note ?? `rollback to the content of version ${old.version}`,
  };
}

/** A bundle without what belongs to one version. */
type BundleContent = Omit<Bundle, "version" | "parent" | "author" | "note">;

/** One value as the three sides have it; undefined where a side lacks it. */
interface Sides {
  readonly base: unknown;
  readonly mine: unknown;
  readonly theirs: unknown;
}

/** Where a merge stands and what it has found. */
interface MergePlace {
  readonly path: readonly string[];
  readonly conflicts: BundleConflict[];
}

function getContent(bundle: Bundle): BundleContent {
  const { version: _, parent: __, author: ___, note: ____, ...content } =
    bundle;
  return content;
}

function mergeValues(sides: Sides, place: MergePlace): unknown {
  const { base, mine, theirs } = sides;
  if (isDeepStrictEqual(mine, theirs)) return mine;
  if (isDeepStrictEqual(base, mine)) return theirs;
  if (isDeepStrictEqual(base, theirs)) return mine;
  if (Array.isArray(mine) && Array.isArray(theirs)) {
    return mergeLists(sides, place);
  }
  if (isRecord(mine) && isRecord(theirs)) return mergeRecords(sides, place);
  place.conflicts.push({ path: place.path.join("."), ...sides });
  return theirs;
}

function mergeLists(sides: Sides, place: MergePlace): unknown {
  const merged = mergeRecords({
    base: createIndex(sides.base),
    mine: createIndex(sides.mine),
    theirs: createIndex(sides.theirs),
  }, place);
  return Object.values(merged);
}

function mergeRecords(
  sides: Sides,
  place: MergePlace,
): Readonly<Record<string, unknown>> {
  const base = isRecord(sides.base) ? sides.base : {};
  const mine = isRecord(sides.mine) ? sides.mine : {};
  const theirs = isRecord(sides.theirs) ? sides.theirs : {};
  const keys = new Set([...Object.keys(theirs), ...Object.keys(mine)]);
  const entries = [...keys].map((key) => {
    const inner = { base: base[key], mine: mine[key], theirs: theirs[key] };
    const path = [...place.path, key];
    return [key, mergeValues(inner, { ...place, path })] as const;
  });
  return Object.fromEntries(entries.filter(([, value]) => value !== undefined));
}

function isRecord(value: unknown): value is Readonly<Record<string, unknown>> {
  return typeof value === "object" && value !== null && !Array.isArray(value);
}

/** Items of a list by their names. */
function createIndex(list: unknown): Readonly<Record<string, unknown>> {
  if (!Array.isArray(list)) return {};
  return Object.fromEntries(list.map((item) => [getItemName(item), item]));
}

function getItemName(item: unknown): string {
  if (!isRecord(item)) return String(item);
  if (item["group"] !== undefined && item["name"] === undefined) {
    return [item["group"], item["model"]].filter(Boolean).join("/");
  }
  return String(item["name"] ?? item["model"]);
}
