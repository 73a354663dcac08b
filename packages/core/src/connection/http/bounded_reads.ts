/**
 * Bounds of the bytes that a faulty server can have a connection read. The HTTP
 * client keeps heads and trailers, and faulty ones cost it far more time than an
 * answer does.
 */
import type { Socket, TcpNetConnectOpts } from "node:net";

/** Most bytes that are read from a socket at a time; other connections get their turn in between. */
const readBytes = 8_192;
/** Unparsed bytes of a socket above which reading is paused. */
const maxUnparsedBytes = 16_384;
/** Most bytes of a connection without a head, a part of a body or an end; above `maxUnparsedBytes` and the last read. */
const maxSilentBytes = 32_768;
/** Longest head of an answer, in bytes, for the HTTP client: `maxSilentBytes` ends a connection before. */
export const maxHeadBytes = 2 * maxSilentBytes;
/** Most interim answers before an answer. */
const maxInterimAnswers = 16;
const firstFinal = 200;

/** Bytes of each connection since the last progress of its answer. */
const silentBytes = new WeakMap<Socket, number>();

/** Options of sockets that connect to servers. */
export const boundedReads: Pick<TcpNetConnectOpts, "onread"> & {
  readonly highWaterMark: number;
} = {
  onread: { buffer: Buffer.alloc(readBytes), callback: addBytes },
  highWaterMark: maxUnparsedBytes,
};

/** Called as a method of the socket; returns whether to go on reading. */
function addBytes(this: unknown, count: number, buffer: Uint8Array): boolean {
  const socket = this as Socket;
  const bytes = (silentBytes.get(socket) ?? 0) + count;
  silentBytes.set(socket, bytes);
  if (bytes > maxSilentBytes) {
    socket.destroy(new Error("bytes of the server are no answer"));
    return false;
  }
  return socket.push(Buffer.from(buffer.subarray(0, count)));
}

/** Records that a request was written to a connection, or that its answer has got on. */
export function recordProgress(socket: Socket): void {
  silentBytes.delete(socket);
}

/** Creates a counter of one call's interim answers, which returns false once they are too many. */
export function createInterimCounter(): (status: number) => boolean {
  let count = 0;
  return (status) => {
    if (status < firstFinal) count += 1;
    return count <= maxInterimAnswers;
  };
}

/** Builds the error of a call with too many interim answers. */
export function buildInterimError(): Error {
  return new Error(`more than ${maxInterimAnswers} interim answers`);
}
