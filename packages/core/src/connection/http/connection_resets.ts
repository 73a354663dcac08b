/** Finds out whether a connection was reset, where the socket reports a regular end. */
import type { Socket } from "node:net";

/**
 * Watches a socket, whose HTTP client must not listen to it yet, and returns
 * whether its connection was reset so far. A reset that comes together with
 * bytes, or that a write is told of, is reported as an end; only its connection
 * has no other side any more.
 */
export function watchResets(socket: Socket): () => boolean {
  let wasReset = false;
  socket.on("error", () => wasReset = true);
  socket.on("end", () => wasReset ||= socket.remoteAddress === undefined);
  return () => wasReset;
}
