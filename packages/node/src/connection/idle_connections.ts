/**
 * Closes idle connections. Node's HTTP server does so by a timer, which after a
 * pause of the process is due before the connections are read, so that a
 * request that came meanwhile would be dropped.
 */
import type { Server } from "node:http";
import type { Socket } from "node:net";

/** Reads a connection whose idle time is over once more, and closes it if nothing came. */
export function closeIdleConnections(server: Server): void {
  // With a listener, the server leaves the closing to it.
  server.on("timeout", (socket: Socket) => {
    const { bytesRead } = socket;
    // Connections are read between the timers and this; a read starts the idle time anew.
    setImmediate(() => {
      if (socket.bytesRead === bytesRead) socket.destroy();
    });
  });
}
