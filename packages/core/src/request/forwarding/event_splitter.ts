/**
 * Splits the bytes of an event stream at the ends of events, so that a stream
 * that breaks inside an event can go on elsewhere after the last whole one.
 */

/** Whole events, and the id of the last one. */
export interface SplitEvents {
  readonly bytes: Buffer;
  readonly lastId?: string;
}

/** Splitter of one answer. */
export interface EventSplitter {
  /** Takes a chunk; returns the events that it completes, if any. */
  readonly add: (chunk: Buffer) => SplitEvents | undefined;
  /** Bytes after the last whole event. */
  readonly takeRest: () => Buffer;
}

const lineFeed = 0x0a;
const carriageReturn = 0x0d;
const idField = /^id: ?([^\r\n]*)\r?$/gm;

/** Creates a splitter. */
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
    takeRest(): Buffer {
      const taken = rest;
      rest = Buffer.alloc(0);
      return taken;
    },
  };
}

/** Index after the last empty line, which ends an event; 0 where there is none. */
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
