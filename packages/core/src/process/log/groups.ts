/**
 * Groups of records inside log entries: their encoding, and the rules by which
 * every reader counts or skips an entry.
 */
import {
  type LogEntry,
  type LogPosition,
  type LogRecord,
  maxGroupLagEntries,
  maxGroupRecords,
  type PositionedRecord,
  type RecordGroup,
  recordGroupSchema,
} from "../../types/index.ts";

/** Fields that every folded state has. */
export interface StreamState {
  /** First position that the state does not cover. */
  readonly next: LogPosition;
  /** Ids of the newest counted groups, oldest first; `foldEntry` maintains them to detect repeats. */
  readonly groups?: readonly string[];
}

/** Whether readers count a log entry, or why they skip it. */
export enum EntryVerdict {
  Counted = "counted",
  /** Not a valid group of records. */
  Malformed = "malformed",
  /** A group that was counted before. */
  Repeated = "repeated",
  /** A group at or after the offset at which it expires. */
  Late = "late",
}

/** An entry with its verdict; the group is absent on a malformed one. */
export interface CheckedEntry {
  readonly verdict: EntryVerdict;
  readonly offset: number;
  readonly timeMs: number;
  readonly group?: RecordGroup;
}

/** Offset of the entry that holds a position. */
export function getOffset(position: LogPosition): number {
  return Math.floor(position / maxGroupRecords);
}

/** Position of a record, from the offset of its entry and its index in the group. */
export function getPosition(offset: number, index = 0): LogPosition {
  return offset * maxGroupRecords + index;
}

/** Decides whether an entry counts, given the groups that the state has counted before it. */
export function checkEntry(state: StreamState, entry: LogEntry): CheckedEntry {
  const { offset, timeMs } = entry;
  const group = decodeGroup(entry.payload);
  if (!group) return { verdict: EntryVerdict.Malformed, offset, timeMs };
  if (group.expires > offset + maxGroupLagEntries) {
    return { verdict: EntryVerdict.Malformed, offset, timeMs };
  }
  if (offset >= group.expires) {
    return { verdict: EntryVerdict.Late, offset, timeMs, group };
  }
  const isRepeated = state.groups?.includes(group.id);
  const verdict = isRepeated ? EntryVerdict.Repeated : EntryVerdict.Counted;
  return { verdict, offset, timeMs, group };
}

/** Folds an entry if it counts and advances the state past it; entries that the state covers change nothing. */
export function foldEntry<S extends StreamState>(
  state: S,
  entry: CheckedEntry,
  options: { readonly fold: (state: S, record: PositionedRecord) => S },
): S {
  const next = getPosition(entry.offset + 1);
  if (next <= state.next) return state;
  if (entry.verdict !== EntryVerdict.Counted || !entry.group) {
    return { ...state, next };
  }
  const folded = listRecords(entry).reduce(options.fold, state);
  const groups = [...(state.groups ?? []), entry.group.id].slice(
    -maxGroupLagEntries,
  );
  return { ...folded, next, groups };
}

/** Records of an entry with their positions; empty for a malformed entry. */
export function listRecords(entry: CheckedEntry): readonly PositionedRecord[] {
  const { group, offset, timeMs } = entry;
  if (!group) return [];
  return group.records.map((record, index) => ({
    position: getPosition(offset, index),
    writer: group.writer,
    timeMs,
    record,
  }));
}

/** Builds a group for a writer whose next offset to read is `nextOffset`. */
export function buildGroup(
  records: readonly LogRecord[],
  options: {
    readonly id: string;
    readonly writer: string;
    readonly nextOffset: number;
  },
): RecordGroup {
  return {
    id: options.id,
    writer: options.writer,
    expires: options.nextOffset + maxGroupLagEntries,
    records: [...records],
  };
}

/** Encodes a group as the payload of a log entry. */
export function encodeGroup(group: RecordGroup): string {
  return JSON.stringify(group);
}

function decodeGroup(payload: string): RecordGroup | undefined {
  try {
    return recordGroupSchema.safeParse(JSON.parse(payload)).data;
  } catch {
    return undefined;
  }
}
