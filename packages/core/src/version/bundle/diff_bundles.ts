/** Differences between two bundles as typed changes. */
import { isDeepStrictEqual } from "node:util";
import type { Bundle } from "../../types/index.ts";
import {
  type BundleItem,
  type BundlePart,
  listBundleItems,
} from "./bundle_items.ts";

export { BundlePart } from "./bundle_items.ts";

/** What happened to an item. */
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

/** Lists what differs; versions, authors and notes are no change. */
export function diffBundles(
  before: Bundle,
  after: Bundle,
): readonly BundleChange[] {
  const old = createIndex(before);
  const current = createIndex(after);
  const removed = [...old].filter(([key]) => !current.has(key)).map((
    [, item],
  ) => createChange(ChangeKind.Removed, item));
  const rest = [...current].flatMap(([key, item]) => {
    const earlier = old.get(key);
    if (!earlier) return [createChange(ChangeKind.Added, item)];
    const fields = diffFields(earlier.fields, item.fields);
    if (fields.length === 0) return [];
    return [{ ...createChange(ChangeKind.Changed, item), fields }];
  });
  return [...removed, ...rest];
}

/** Formats a change as one line; digests of keys are left out. */
export function formatChange(change: BundleChange): string {
  const head = `${change.kind} ${change.part} ${change.name}`;
  if (change.fields.length === 0) return head;
  return `${head}: ${change.fields.map(formatField).join(", ")}`;
}

function formatField({ field, before, after }: FieldChange): string {
  if (field === "key_sha256") return "key replaced";
  return `${field} ${JSON.stringify(before)} -> ${JSON.stringify(after)}`;
}

function createIndex(bundle: Bundle): ReadonlyMap<string, BundleItem> {
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
