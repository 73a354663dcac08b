/** Differences between two bundles as typed changes. */
import { isDeepStrictEqual } from "node:util";
import type { Bundle } from "../../types/index.ts";
import {
  type BundleItem,
  type BundlePart,
  listBundleItems,
} from "./bundle_items.ts";

export { BundlePart } from "./bundle_items.ts";

/** How an item differs between two bundles. */
export enum ChangeKind {
  Added = "added",
  Removed = "removed",
  Changed = "changed",
}

/** One field with its values before and after. */
export interface FieldChange {
  readonly field: string;
  readonly before: unknown;
  readonly after: unknown;
}

/** One change from one bundle to another. */
export interface BundleChange {
  readonly kind: ChangeKind;
  readonly part: BundlePart;
  readonly name: string;
  /** Changed fields; empty unless `kind` is `Changed`. */
  readonly fields: readonly FieldChange[];
}

/**
 * Lists the differences between two bundles, without version, parent, author
 * and note.
 */
export function diffBundles(
  before: Bundle,
  after: Bundle,
): readonly BundleChange[] {
  const itemsBefore = indexItems(before);
  const itemsAfter = indexItems(after);
  const removed = [...itemsBefore].filter(([key]) => !itemsAfter.has(key)).map((
    [, item],
  ) => createChange(ChangeKind.Removed, item));
  const addedOrChanged = [...itemsAfter].flatMap(([key, item]) => {
    const itemBefore = itemsBefore.get(key);
    if (!itemBefore) return [createChange(ChangeKind.Added, item)];
    const fields = diffFields(itemBefore.fields, item.fields);
    if (fields.length === 0) return [];
    return [{ ...createChange(ChangeKind.Changed, item), fields }];
  });
  return [...removed, ...addedOrChanged];
}

/** Formats a change as one line; digests of API keys are not shown. */
export function formatChange(change: BundleChange): string {
  const head = `${change.kind} ${change.part} ${change.name}`;
  if (change.fields.length === 0) return head;
  return `${head}: ${change.fields.map(formatField).join(", ")}`;
}

function formatField({ field, before, after }: FieldChange): string {
  if (field === "key_sha256") return "key replaced";
  return `${field} ${JSON.stringify(before)} -> ${JSON.stringify(after)}`;
}

function indexItems(bundle: Bundle): ReadonlyMap<string, BundleItem> {
  return new Map(
    listBundleItems(bundle).map((item) => [`${item.part} ${item.name}`, item]),
  );
}

function createChange(kind: ChangeKind, item: BundleItem): BundleChange {
  return { kind, part: item.part, name: item.name, fields: [] };
}

function diffFields(
  before: BundleItem["fields"],
  after: BundleItem["fields"],
): readonly FieldChange[] {
  const names = new Set([...Object.keys(before), ...Object.keys(after)]);
  return [...names]
    .filter((name) => !isDeepStrictEqual(before[name], after[name]))
    .map((field) => ({ field, before: before[field], after: after[field] }));
}
