/** Finds out whether a process listens at an address. */
import type { Socket } from "node:net";

/** Result of an attempt to open a connection. */
export enum ConnectionAttempt {
  Opened = "opened",
  /** Nothing listens at the address. */
  Refused = "refused",
  Failed = "failed",
}

/** Waits until a socket that is connecting has connected, and closes it again; fails after `timeoutMs`. */
export function tryConnection(
  socket: Socket,
  timeoutMs: number,
): Promise<ConnectionAttempt> {
  return new Promise((resolve) => {
    const end = (result: ConnectionAttempt): void => {
      clearTimeout(timer);
      socket.destroy();
      resolve(result);
    };
    const timer = setTimeout(() => end(ConnectionAttempt.Failed), timeoutMs);
    socket.once("error", ({ code }: NodeJS.ErrnoException) =>
      end(
        code === "ECONNREFUSED"
          ? ConnectionAttempt.Refused
          : ConnectionAttempt.Failed,
      ));
    socket.once("connect", () => end(ConnectionAttempt.Opened));
  });
}
