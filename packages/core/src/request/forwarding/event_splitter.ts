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
  /** Returns and clears the buffered bytes after the last complete event. */
  readonly flush: () => Buffer;
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
    flush(): Buffer {
      const taken = rest;
      rest = Buffer.alloc(0);
      return taken;
    },
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
