/**
 * Splits the bytes of an event stream at event boundaries, so that a stream
 * that breaks inside an event can resume after the last complete event.
 */

/** One or more complete events, and the last id among them. */
export interface SplitEvents {
  readonly bytes: Buffer;
  readonly lastId?: string;
}

/** Splitter of one answer; buffers the bytes of an incomplete event. */
export interface EventSplitter {
  /** Adds a chunk; returns the buffered bytes up to the end of the last complete event, if any event is complete. */
  readonly add: (chunk: Buffer) => SplitEvents | undefined;
  /** Number of buffered bytes after the last complete event. */
  readonly countBuffered: () => number;
}

const lineFeed = 0x0a;
const carriageReturn = 0x0d;
const idField = /^id: ?([^\r\n]*)\r?$/gm;

/** Creates a splitter with an empty buffer. */
export function createEventSplitter(): EventSplitter {
  let rest: Buffer = Buffer.alloc(0);
  return {
    add(chunk): SplitEvents | undefined {
      const bytes = rest.length === 0 ? chunk : Buffer.concat([rest, chunk]);
      const end = findLastEnd(bytes);
      if (end === 0) {
        rest = bytes;
        return undefined;
      }
      rest = bytes.subarray(end);
      const events = bytes.subarray(0, end);
      return { bytes: events, lastId: findLastId(events) };
    },
    countBuffered: () => rest.length,
  };
}

/** Index after the last empty line, which ends an event; 0 if there is none. */
function findLastEnd(bytes: Buffer): number {
  for (let index = bytes.length - 1; index > 0; index--) {
    if (bytes[index] !== lineFeed) continue;
    const before = bytes[index - 1] === carriageReturn ? index - 2 : index - 1;
    if (bytes[before] === lineFeed) return index + 1;
  }
  return 0;
}

function findLastId(events: Buffer): string | undefined {
  return [...events.toString("latin1").matchAll(idField)].at(-1)?.[1];
}

/** How the bytes of a stream ended. */
export interface StreamEnd {
  readonly add: (chunk: Buffer) => void;
  /**
   * Whether the stream was whole at its end: it did not end inside an event,
   * and one that does not state its length has an event.
   */
  readonly isWhole: (answer: { readonly framed: boolean }) => boolean;
}

/** Longest end of an event: two line ends of two characters each. */
const maxEndBytes = 4;

/** Tracks the last bytes of a stream. */
export function createStreamEnd(): StreamEnd {
  let last: Buffer = Buffer.alloc(0);
  return {
    add(chunk): void {
      last = chunk.length >= maxEndBytes
        ? chunk.subarray(-maxEndBytes)
        : Buffer.concat([last, chunk]).subarray(-maxEndBytes);
    },
    isWhole: ({ framed }) =>
      last.length === 0 ? framed : findLastEnd(last) === last.length,
  };
}
