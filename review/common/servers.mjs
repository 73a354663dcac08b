/** Stand-ins of a plain service's servers, and the manifest that routes to them. */
import { createServer } from "node:http";
import { randomBytes } from "node:crypto";

const heartbeatMs = 1_200;

/** Starts a server that registers in the store; `run` answers a request that it runs. */
export async function openServer(options) {
  const {
    host,
    store,
    service,
    zone,
    record,
    workMs = 20,
    slots = 6,
    answerBytes = 0,
  } = options;
  const { id = `i-${randomBytes(5).toString("hex")}` } = options;
  const born = Date.now();
  const runs = [];
  let beats = 0;
  let state = "ready";
  const server = createServer(async (request, response) => {
    const chunks = [];
    for await (const chunk of request) chunks.push(chunk);
    const attempt = request.headers["attempt-id"];
    const expected = request.headers["expect-instance"];
    if (expected !== undefined && expected !== id) {
      response.writeHead(421, {
        "instance-id": id,
        ...(attempt && { "attempt-id": attempt }),
      });
      return response.end();
    }
    runs.push({ attempt, atMs: performance.now(), path: request.url });
    record.add(`${service} ${id} runs ${attempt}`);
    await new Promise((done) => setTimeout(done, workMs));
    const body = `${service} ran ${attempt}`.padEnd(answerBytes, ".");
    response.writeHead(200, {
      "attempt-id": attempt,
      "server-stamp": `${id}.${runs.length}`,
      "server-load": `1,0,${slots}`,
      "content-length": Buffer.byteLength(body),
    });
    response.end(body);
  });
  server.keepAliveTimeout = 0;
  await new Promise((done) => server.listen(0, host, done));
  const address = `${host}:${server.address().port}`;
  const beat = () =>
    store.write("keyed.servers", id, {
      service,
      address,
      zone,
      version: "v1",
      slots,
      state,
      coldLeftMs: 0,
      seq: beats++,
      born,
    });
  beat();
  const timer = setInterval(beat, heartbeatMs);
  return {
    id,
    service,
    address,
    runs,
    /** Removes its entry without having reported that it drains, serves for `serveMs` and ends. */
    vanish(serveMs) {
      clearInterval(timer);
      store.write("keyed.servers", id, undefined);
      record.add(`the entry of ${id} is removed`);
      const ackMs = performance.now();
      setTimeout(() => {
        server.close();
        server.closeAllConnections();
        record.add(`${id} has ended`);
      }, serveMs);
      return ackMs;
    },
    close() {
      clearInterval(timer);
      server.close();
      server.closeAllConnections();
    },
  };
}

/** Builds a manifest in which each route `{ name, path, service, kind }` has a host of its own. */
export function buildManifest(version, routes, { timeoutMs = 1_500 } = {}) {
  const services = [...new Set(routes.map(({ service }) => service))];
  return {
    version,
    routes: routes.map(({ name, path, service, kind }) => ({
      name,
      host: "calls.example",
      pathPrefix: path,
      kind,
      timeoutMs,
      targetLatencyMs: 300,
      priority: 2,
      service,
      maxAttempts: kind === "idempotent" ? 2 : 1,
    })),
    services: services.map((name) => ({
      name,
      healthPath: "/healthz",
      maxConns: 100,
      protocol: "h1",
      tls: false,
    })),
    limits: {
      maxHeaderBytes: 16_384,
      maxBodyBytes: 4_194_304,
      headerTimeoutMs: 3_000,
      idleTimeoutMs: 15_000,
    },
  };
}
