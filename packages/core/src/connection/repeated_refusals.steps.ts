/** Steps of `repeated_refusals.feature`. */
import assert from "node:assert/strict";
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import type { AddressInfo, Socket } from "node:net";
import { After, Given, Then, When } from "@cucumber/cucumber";
import { Effect, Priority, RemoteError } from "../types/index.ts";
import { openEndpointClients } from "./endpoint/index.ts";
import { openHttpConnections } from "./http/index.ts";

/** State of one scenario. */
interface RefusalWorld {
  refusalServer?: Server;
  /** Paths of calls, and attempts of completions, that have run. */
  ran: Set<string>;
  sockets: Set<Socket>;
  results: { readonly path: string; readonly error?: unknown }[];
}

const host = "127.0.0.1";
const refusalBody = JSON.stringify({ error: { effect: Effect.None } });

After(function (this: RefusalWorld): void {
  this.refusalServer?.close();
  this.refusalServer?.closeAllConnections();
});

Given(
  /^a server that (?:refuses the first call of each connection with (\d+), and writes that refusal once more before its next answer|answers all calls)$/,
  async function (this: RefusalWorld, status: string | null): Promise<void> {
    this.ran = new Set();
    this.sockets = new Set();
    this.results = [];
    const refusals = new WeakMap<Socket, string>();
    this.refusalServer = createServer((request, response) => {
      this.sockets.add(request.socket);
      if (status !== null && refuse(request, { response, status, refusals })) {
        return;
      }
      this.ran.add(request.url ?? "");
      response.end("{}");
    });
    const server = this.refusalServer;
    await new Promise<void>((resolve) => server.listen(0, host, resolve));
  },
);

Given(
  "a server that writes a refusal that nobody asked for before each further answer on a connection",
  async function (this: RefusalWorld): Promise<void> {
    this.ran = new Set();
    this.sockets = new Set();
    this.results = [];
    this.refusalServer = createServer(async (request, response) => {
      const { socket } = request;
      const id = await readId(request);
      if (this.sockets.has(socket)) socket.write(formatRefusal("503"));
      this.sockets.add(socket);
      this.ran.add(id);
      response.end("{}");
    });
    const server = this.refusalServer;
    await new Promise<void>((resolve) => server.listen(0, host, resolve));
  },
);

When(
  "{int} calls of its service come one after the other",
  async function (this: RefusalWorld, count: number): Promise<void> {
    const { port } = this.refusalServer?.address() as AddressInfo;
    const clients = openEndpointClients();
    const service = clients.openService("s1", `${host}:${port}`);
    for (let each = 0; each < count; each++) {
      const path = `/${each}`;
      const request = { method: "POST", path, headers: {}, body: "" };
      await service.call(request, new AbortController().signal).then(
        () => this.results.push({ path }),
        (error: unknown) => this.results.push({ path, error }),
      );
    }
    await clients.close();
  },
);

When(
  "{int} completions of its engine come one after the other",
  async function (this: RefusalWorld, count: number): Promise<void> {
    const { port } = this.refusalServer?.address() as AddressInfo;
    const clients = openEndpointClients();
    const engine = clients.openEngine("e1", `${host}:${port}`);
    for (let each = 0; each < count; each++) {
      const path = `attempt-${each}`;
      const events = engine.generate({
        attemptId: path,
        model: "m",
        prompt: "",
        maxTokens: 1,
        priority: Priority.Interactive,
      }, new AbortController().signal);
      try {
        for await (const _event of events);
        this.results.push({ path });
      } catch (error) {
        this.results.push({ path, error });
      }
    }
    await clients.close();
  },
);

When(
  /^(\d+) calls are sent (?:one after the other|at a time on (\d+) connections)$/,
  async function (
    this: RefusalWorld,
    count: string,
    most: string | null,
  ): Promise<void> {
    const { port } = this.refusalServer?.address() as AddressInfo;
    const connections = openHttpConnections(`${host}:${port}`, {
      maxConnections: most === null ? undefined : Number(most),
    });
    const send = async (path: string): Promise<void> => {
      try {
        const answer = await connections.send({ method: "POST", path });
        await answer.body.text();
        this.results.push({ path });
      } catch (error) {
        this.results.push({ path, error });
      }
    };
    const sends: Promise<void>[] = [];
    for (let each = 0; each < Number(count); each++) {
      sends.push(send(`/${each}`));
      if (most === null) await sends.at(-1);
    }
    await Promise.all(sends);
    await connections.close();
  },
);

Then(
  "no call that has run is refused as without effect",
  function (this: RefusalWorld): void {
    const untrue = this.results.filter(({ path, error }) =>
      error instanceof RemoteError && error.effect === Effect.None &&
      this.ran.has(path)
    );
    assert.deepEqual(untrue.map(({ path }) => path), []);
  },
);

Then(
  "each call has run or is refused",
  function (this: RefusalWorld): void {
    for (const { path, error } of this.results) {
      const refused = error instanceof RemoteError &&
        error.effect === Effect.None;
      assert.ok(refused !== this.ran.has(path), path);
    }
  },
);

Then(
  "the calls came on at most {int} connections",
  function (this: RefusalWorld, most: number): void {
    assert.ok(this.sockets.size <= most, String(this.sockets.size));
  },
);

/** Refuses a call if it is the first one of its connection; otherwise writes the refusal of that one again. */
function refuse(
  { socket }: IncomingMessage,
  { response, status, refusals }: {
    readonly response: ServerResponse;
    readonly status: string;
    readonly refusals: WeakMap<Socket, string>;
  },
): boolean {
  const earlier = refusals.get(socket);
  if (earlier !== undefined) {
    socket.write(earlier);
    return false;
  }
  refusals.set(socket, formatRefusal(status));
  response.writeHead(Number(status), { "content-length": refusalBody.length });
  response.end(refusalBody);
  return true;
}

/** Reads a request to its end; returns the attempt of a completion, and the path of any other call. */
async function readId(request: IncomingMessage): Promise<string> {
  const chunks: Buffer[] = [];
  for await (const chunk of request) chunks.push(chunk);
  const text = Buffer.concat(chunks).toString();
  const attempt = /"attempt_id":"([^"]+)"/.exec(text)?.[1];
  return attempt ?? request.url ?? "";
}

function formatRefusal(status: string): string {
  return `HTTP/1.1 ${status} Refused\r\ncontent-length: ${refusalBody.length}\r\n\r\n${refusalBody}`;
}
