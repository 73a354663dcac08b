/** Readiness of an entry, as the load balancer asks for it. */
import { createServer, type Server } from "node:http";
import { entryEvents } from "./events.ts";
import { listen } from "./front_server.ts";
import type { Running } from "./running.ts";

const ok = 200;
const notFound = 404;
const unavailable = 503;

/** Serves the load balancer's readiness check; the response has no body because the balancer evaluates only the status code. */
export async function openReadiness(running: Running): Promise<Server> {
  const { settings } = running;
  const server = createServer((request, response) => {
    request.resume();
    const known = request.url === settings.readiness_path;
    const status = isReady(running) ? ok : unavailable;
    response.writeHead(known ? status : notFound, { "content-length": 0 });
    response.end();
  });
  await listen(server, settings.readiness);
  return server;
}

/** Whether the entry is ready; also logs each change of readiness. */
function isReady(running: Running): boolean {
  const { fleet, state, options } = running;
  const reason = findUnreadyReason(running);
  const ready = reason === undefined;
  if (ready !== state.ready) {
    state.ready = ready;
    options.logEvent(ready ? entryEvents.ready : entryEvents.notReady, {
      reason,
      version: fleet.getVersion()?.version ?? 0,
      endpoints: fleet.endpoints.listAll().length,
      sinceStartMs: Math.round(performance.now()),
    });
  }
  return ready;
}

function findUnreadyReason({ fleet, state }: Running): string | undefined {
  if (state.stopping) return "entry is stopping";
  if (!fleet.getVersion()) return "no configuration is in force";
  return fleet.endpoints.listAll().length === 0
    ? "no endpoint is listed"
    : undefined;
}
