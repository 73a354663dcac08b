/**
 * The recent changes of the list of endpoints, which the instance that reads
 * the store sends to the others of its failure domain, so that they need not
 * fetch the whole list.
 */
import type { ListedEndpoint, TopicRecord } from "../../types/index.ts";
import type { AppliedPage } from "./follow_topic.ts";

/** Changes of the list since an offset of its topic. */
export interface ListUpdate {
  /** The records hold every relevant change from this offset on. */
  readonly from: number;
  readonly records: readonly TopicRecord<ListedEndpoint>[];
}

/** Collects the changes that this instance read. */
export interface ListUpdates {
  /** Adds a page that was read from offset `from`; `changed` says whether it changed the list. */
  readonly add: (
    page: AppliedPage<ListedEndpoint>,
    options: { readonly from: number; readonly changed: boolean },
  ) => void;
  /** Drops what was collected: later changes came by another way, so that it would lack them. */
  readonly clear: () => void;
  /** The changes of the last `updateTtlMs`; undefined if there are none or too many. */
  readonly get: () => ListUpdate | undefined;
}

/** Time for which a change is repeated, in ms: a few updates, as some get lost. */
const updateTtlMs = 3_500;
/** Maximum number of records in one update; instances that are further behind fetch the list. */
const maxUpdateRecords = 64;

interface ChangedPage extends ListUpdate {
  readonly readMs: number;
}

/** Creates an empty collection. */
export function createListUpdates(): ListUpdates {
  let pages: readonly ChangedPage[] = [];
  return {
    add({ records, whole }, { from, changed }): void {
      if (whole) pages = [];
      else if (changed) {
        pages = [...pages, { from, records, readMs: performance.now() }];
      }
    },
    clear(): void {
      pages = [];
    },
    get(): ListUpdate | undefined {
      const oldestMs = performance.now() - updateTtlMs;
      pages = pages.filter(({ readMs }) => readMs >= oldestMs);
      const records = pages.flatMap((page) => page.records);
      const [first] = pages;
      return first && records.length <= maxUpdateRecords
        ? { from: first.from, records }
        : undefined;
    },
  };
}
