/** Bundles in force and published, as operators see them. */
import type { Bundle, BundleEntry, BundleRejection } from "@trefoildoor/core";
import { formatTime } from "../output.ts";

/** A published bundle and what became of it. */
export interface HistoryRow {
  readonly version: number;
  readonly parent: number;
  readonly author: string;
  readonly time: string;
  readonly note: string;
  readonly result: "accepted" | BundleRejection;
}

/** Describes a published bundle. */
export function describeEntry(entry: BundleEntry): HistoryRow {
  const { version, parent, author, timeMs, note, rejection } = entry;
  const time = formatTime(timeMs);
  return {
    version,
    parent,
    author,
    time,
    note,
    result: rejection ?? "accepted",
  };
}

/** One line that names a bundle and who signed it off. */
export function formatBundleName(bundle: Bundle, timeMs?: number): string {
  const time = timeMs === undefined ? "" : ` at ${formatTime(timeMs)}`;
  return `version ${bundle.version} by ${bundle.author}${time}`;
}
