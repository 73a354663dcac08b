/**
 * Answers requests that cannot be read. Node's HTTP server writes a status by
 * itself, which a caller that has sent a request before takes for the answer to
 * that one, although it is running.
 */
import { type IncomingMessage, type Server, STATUS_CODES } from "node:http";
import type { Socket } from "node:net";

const badRequest = 400;
const statusByCode: ReadonlyMap<string, number> = new Map([
  ["ERR_HTTP_REQUEST_TIMEOUT", 408],
  ["HPE_CHUNK_EXTENSIONS_OVERFLOW", 413],
  ["HPE_HEADER_OVERFLOW", 431],
]);

/** Answers with a status where no earlier request of the connection is unanswered; otherwise closes the connection after their answers. */
export function answerRequestErrors(server: Server): void {
  /** Requests without a complete answer, by connection. */
  const open = new WeakMap<Socket, Set<IncomingMessage>>();
  const broken = new WeakSet<Socket>();

  function hasWhole(socket: Socket): boolean {
    return [...open.get(socket) ?? []].some(({ complete }) => complete);
  }

  // Before the listeners that answer requests.
  server.prependListener("request", (request, response) => {
    const { socket } = request;
    const requests = open.get(socket) ?? new Set();
    open.set(socket, requests.add(request));
    response.once("close", () => {
      requests.delete(request);
      if (broken.has(socket) && !hasWhole(socket)) socket.destroySoon();
    });
  });
  server.on("clientError", (error: NodeJS.ErrnoException, socket: Socket) => {
    if (socket.destroyed) return;
    if (hasWhole(socket)) return void broken.add(socket);
    const status = statusByCode.get(error.code ?? "") ?? badRequest;
    if (socket.writable) {
      socket.write(
        `HTTP/1.1 ${status} ${
          STATUS_CODES[status]
        }\r\nconnection: close\r\n\r\n`,
      );
    }
    socket.destroySoon();
  });
}
