/** Stand-in of a model engine: prefill with export, decode as a stream, role orders and drain. */
import { createServer } from "node:http";
import { randomBytes } from "node:crypto";

const heartbeatMs = 1_200;
/** Time until an ordered role is in force, in ms: `roleSwitchS` of the manifest. */
export const roleSwitchMs = 3_000;

/** Starts an engine that registers in the store. */
export async function openEngine(options) {
  const { host, store, service, zone, stage: firstStage, record } = options;
  const { events = 4, eventMs = 15 } = options;
  const id = `i-${randomBytes(5).toString("hex")}`;
  let born = Date.now();
  let down = false;
  const runs = [];
  const orders = [];
  let stage = firstStage;
  let state = "ready";
  let beats = 0;
  let accepted = 0;
  let busy = false;
  let highestFence = 0;

  async function handle(request, response) {
    const chunks = [];
    for await (const chunk of request) chunks.push(chunk);
    const attempt = request.headers["attempt-id"];
    const echo = attempt === undefined ? {} : { "attempt-id": attempt };
    const answerJson = (status, body) => {
      response.writeHead(status, {
        ...echo,
        "content-type": "application/json",
      });
      response.end(JSON.stringify(body));
    };
    const expected = request.headers["expect-instance"];
    if (expected !== undefined && expected !== id) {
      response.writeHead(421, { ...echo, "instance-id": id });
      return response.end();
    }
    if (request.method === "DELETE") return answerJson(200, {});
    if (request.url === "/api/report") {
      return answerJson(200, {
        stage,
        models: [{ name: "m", version: 1, adapters: [] }],
        busy,
        seq: accepted,
        queued: 0,
        running: 0,
        kvUsed: 0,
        kvTotal: 500_000,
        kvHandles: 0,
      });
    }
    if (request.url === "/api/order") {
      return takeOrder(JSON.parse(Buffer.concat(chunks)), answerJson);
    }
    const refuse = (status) => {
      response.writeHead(status, { ...echo, "not-executed": "1" });
      response.end();
    };
    if (busy) return refuse(503);
    if (request.headers.stage === "prefill") {
      if (stage !== "prefill") return refuse(421);
      return answerJson(200, {
        kvHandle: randomBytes(6).toString("hex"),
        tokens: 100,
        version: 1,
      });
    }
    if (stage === "prefill") return refuse(421);
    runs.push({ attempt, atMs: performance.now() });
    record.add(`${id} runs ${attempt}`);
    response.writeHead(200, {
      ...echo,
      "server-stamp": `${id}.${runs.length}`,
      "content-type": "text/event-stream",
    });
    const first = Number(request.headers["last-event-id"] ?? 0) + 1;
    for (let number = first; number <= events; number++) {
      response.write(`id: ${number}\ndata: ${attempt}\n\n`);
      await new Promise((done) => setTimeout(done, eventMs));
    }
    response.end();
  }

  function takeOrder(order, answerJson) {
    orders.push({ ...order, atMs: performance.now() });
    record.add(
      `${id} gets an order from ${order.holder} with number ${order.fence}: ${order.stage}`,
    );
    if (order.fence < highestFence) return answerJson(412, {});
    highestFence = order.fence;
    if (busy || (order.expect ?? accepted) !== accepted) {
      return answerJson(409, {});
    }
    if (order.stage === stage) return answerJson(200, {});
    accepted += 1;
    busy = true;
    setTimeout(() => {
      busy = false;
      ({ stage } = order);
      record.add(`${id} is ${stage} now`);
      beat();
    }, roleSwitchMs);
    answerJson(202, {});
  }

  const server = createServer((request, response) =>
    void handle(request, response)
  );
  server.keepAliveTimeout = 0;
  await new Promise((done) => server.listen(0, host, done));
  const address = `${host}:${server.address().port}`;

  function beat() {
    store.write("keyed.servers", id, {
      service,
      address,
      zone,
      version: "v1",
      slots: 64,
      state,
      coldLeftMs: 0,
      stage,
      models: [{ name: "m", version: 1, adapters: [] }],
      seq: beats++,
      born,
    });
  }

  beat();
  const timer = setInterval(() => {
    if (!down) beat();
  }, heartbeatMs);
  function stop() {
    clearInterval(timer);
    server.close();
    server.closeAllConnections();
  }
  return {
    id,
    address,
    runs,
    orders,
    getStage: () => stage,
    /** Reports that it drains, serves for `serveMs`, then removes its entry and ends. */
    leave(serveMs) {
      state = "draining";
      beat();
      record.add(`${id} (${stage}) drains`);
      setTimeout(() => {
        stop();
        store.write("keyed.servers", id, undefined);
        record.add(`${id} has left`);
      }, serveMs);
    },
    /** Ends the process; a new one, under the same id, starts after `downMs`. */
    async crash(downMs) {
      down = true;
      const { port } = server.address();
      server.close();
      server.closeAllConnections();
      record.add(`${id} (${stage}) crashes`);
      await new Promise((done) => setTimeout(done, downMs));
      accepted = 0;
      busy = false;
      highestFence = 0;
      born = Date.now();
      await new Promise((done) => server.listen(port, host, done));
      down = false;
      record.add(`${id} (${stage}) is back`);
      beat();
    },
    close: stop,
  };
}

/** Adds the engine fields to the service of a manifest that holds only engines. */
export function addEngines(manifest, service) {
  return {
    ...manifest,
    services: manifest.services.map((each) =>
      each.name !== service ? each : {
        ...each,
        engine: {
          slots: 64,
          kvCapacityTokens: 500_000,
          kvTokenBytes: 327_680,
          linkMbps: 3_800_000,
          handleTtlS: 5,
          roleSwitchS: roleSwitchMs / 1_000,
          models: [{ name: "m" }],
        },
      }
    ),
  };
}
