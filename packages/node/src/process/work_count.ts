/** Count of calls in flight at this instance, so that a planned stop can wait for them. */
import type { ServerResponse } from "node:http";
import type { GatewayApp, GatewayHandler } from "../connection/gateway.ts";

/** Number of calls in flight. */
export interface WorkCount {
  readonly getCount: () => number;
  /** Resolves once no call is in flight, or at the deadline; resolves to the calls left. */
  readonly waitUntilIdle: (deadlineMs: number) => Promise<number>;
  /** Counts the calls of an app's handlers. */
  readonly countApp: (app: GatewayApp) => GatewayApp;
}

/** Creates a count that starts at zero. */
export function createWorkCount(): WorkCount {
  let count = 0;
  const waiting = new Set<() => void>();

  function countHandler(handler: GatewayHandler): GatewayHandler {
    return async (request, response): Promise<void> => {
      count++;
      const ended = waitForEnd(response);
      try {
        await handler(request, response);
        await ended;
      } finally {
        count--;
        if (count === 0) { for (const resolveWait of waiting) resolveWait(); }
      }
    };
  }

  return {
    getCount: () => count,
    waitUntilIdle: (deadlineMs) =>
      new Promise((resolve) => {
        if (count === 0) return resolve(0);
        const finish = (): void => {
          clearTimeout(timer);
          waiting.delete(finish);
          resolve(count);
        };
        const timer = setTimeout(finish, deadlineMs);
        waiting.add(finish);
      }),
    countApp: (app) => ({
      ...app,
      handlers: Object.fromEntries(
        Object.entries(app.handlers).map((
          [path, handler],
        ) => [path, countHandler(handler)]),
      ),
    }),
  };
}

/** Resolves once the whole answer is passed to the operating system or the connection closes. */
function waitForEnd(response: ServerResponse): Promise<void> {
  return new Promise((resolve) => {
    response.once("finish", () => resolve());
    response.once("close", () => resolve());
  });
}
