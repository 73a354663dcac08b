/**
 * Creates new bundle versions from existing ones, by a rebase onto a newer
 * parent or a rollback.
 */
import { isDeepStrictEqual } from "node:util";
import { type Either, Left, Right } from "purify-ts";
import type { Bundle } from "../../types/index.ts";

/** A value that both bundles changed, each in a different way. */
export interface BundleConflict {
  /** Path by names, for instance `pools.drafting.models.writer.version`. */
  readonly path: string;
  readonly base: unknown;
  readonly mine: unknown;
  readonly theirs: unknown;
}

/** Options of `rebaseBundle`. */
export interface RebaseOptions {
  /** The version on which the bundle was based before the rebase. */
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
 * Applies a bundle's changes to a newer parent. Returns the conflicts if both
 * changed a value differently. Check the result with `listBundleFaults`, since
 * two changes that are valid alone may contradict each other.
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

/** A bundle without the fields that describe its version. */
type BundleContent = Omit<Bundle, "version" | "parent" | "author" | "note">;

/** One value in each of the three bundles of a merge; undefined where it is absent. */
interface MergeSides {
  readonly base: unknown;
  readonly mine: unknown;
  readonly theirs: unknown;
}

/** Path of the values being merged, and the conflicts found so far. */
interface MergeContext {
  readonly path: readonly string[];
  readonly conflicts: BundleConflict[];
}

function getContent(bundle: Bundle): BundleContent {
  const { version: _, parent: __, author: ___, note: ____, ...content } =
    bundle;
  return content;
}

function mergeValues(sides: MergeSides, context: MergeContext): unknown {
  const { base, mine, theirs } = sides;
  if (isDeepStrictEqual(mine, theirs)) return mine;
  if (isDeepStrictEqual(base, mine)) return theirs;
  if (isDeepStrictEqual(base, theirs)) return mine;
  if (Array.isArray(mine) && Array.isArray(theirs)) {
    return mergeLists(sides, context);
  }
  if (isRecord(mine) && isRecord(theirs)) return mergeRecords(sides, context);
  context.conflicts.push({ path: context.path.join("."), ...sides });
  return theirs;
}

function mergeLists(sides: MergeSides, context: MergeContext): unknown {
  const merged = mergeRecords({
    base: indexByName(sides.base),
    mine: indexByName(sides.mine),
    theirs: indexByName(sides.theirs),
  }, context);
  return Object.values(merged);
}

function mergeRecords(
  sides: MergeSides,
  context: MergeContext,
): Readonly<Record<string, unknown>> {
  const base = isRecord(sides.base) ? sides.base : {};
  const mine = isRecord(sides.mine) ? sides.mine : {};
  const theirs = isRecord(sides.theirs) ? sides.theirs : {};
  const keys = new Set([...Object.keys(theirs), ...Object.keys(mine)]);
  const entries = [...keys].map((key) => {
    const inner = { base: base[key], mine: mine[key], theirs: theirs[key] };
    const path = [...context.path, key];
    return [key, mergeValues(inner, { ...context, path })] as const;
  });
  return Object.fromEntries(entries.filter(([, value]) => value !== undefined));
}

function isRecord(value: unknown): value is Readonly<Record<string, unknown>> {
  return typeof value === "object" && value !== null && !Array.isArray(value);
}

/** Maps the items of a list by name. */
function indexByName(list: unknown): Readonly<Record<string, unknown>> {
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
