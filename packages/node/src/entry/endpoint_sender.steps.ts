/** Steps of `endpoint_sender.feature`. */
import { strict as assert } from "node:assert";
import { createServer, type IncomingMessage, type Server } from "node:http";
import { type AddressInfo, connect, type Socket } from "node:net";
import { After, Given, Then, When } from "@cucumber/cucumber";
import {
  Effect,
  type EndpointSender,
  type ForwardCall,
  type ListedEndpoint,
  RemoteError,
  waitFor,
} from "@trefoildoor/core";
import { waitUntil } from "@trefoildoor/testing";
import { type Channels, createChannels } from "./channels.ts";
import { createEndpointSender } from "./endpoint_sender.ts";
import { type FrontServer, listen, openFrontServer } from "./front_server.ts";

/** State of one scenario. */
interface SenderWorld {
  senderFront?: FrontServer;
  senderChannels?: Channels;
  endpointServer?: Server;
  /** Targets of the requests that reached the endpoint. */
  reached: string[];
  frontPort: number;
  answered: number;
  endpointLeft: boolean;
  unsent: boolean;
  sender: EndpointSender;
  endpoint: ListedEndpoint;
}

const service = "drafting";
const settleMs = 200;

After(function (this: SenderWorld): void {
  this.senderFront?.stopAccepting();
  this.senderChannels?.close();
  this.endpointServer?.close();
  this.endpointServer?.closeAllConnections();
});

/** Listens on a free port and returns it. */
async function listenAnywhere(server: Server): Promise<number> {
  await listen(server, "127.0.0.1:0");
  return (server.address() as AddressInfo).port;
}

async function findFreePort(): Promise<number> {
  const server = createServer();
  const port = await listenAnywhere(server);
  await new Promise((resolve) => server.close(resolve));
  return port;
}

function createSender(channels: Channels): EndpointSender {
  return createEndpointSender({
    decodeCall: () => undefined,
    encodeSend: ({ method, target }) => ({ method, path: target }),
    decodeHead: (status, headers) => ({
      status,
      headers,
      callId: undefined,
      genuine: true,
      notRun: false,
      leaving: false,
      encoded: false,
    }),
    decodeExport: () => undefined,
    findWeightsVersion: () => undefined,
    encodeRelease: () => ({ method: "DELETE", path: "/" }),
  }, {
    channels,
    logEvent: () => undefined,
  });
}

function buildCall(target: string): ForwardCall {
  return {
    id: "call",
    method: "GET",
    target,
    host: "host",
    headers: [],
    body: Buffer.alloc(0),
    receivedMs: performance.now(),
  };
}

Given(
  "a listener that sends each request of a caller on to an endpoint",
  async function (this: SenderWorld): Promise<void> {
    this.reached = [];
    this.answered = 0;
    this.endpointServer = createServer((request: IncomingMessage, response) => {
      this.reached.push(request.url ?? "");
      response.end("done");
    });
    const endpoint: ListedEndpoint = {
      name: "engine-1",
      service,
      address: `127.0.0.1:${await listenAnywhere(this.endpointServer)}`,
      failureDomain: "sapporo",
      slots: 4,
      leaving: false,
      startedAtMs: 1,
    };
    const channels = createChannels();
    this.senderChannels = channels;
    const sender = createSender(channels);
    this.sender = sender;
    this.endpoint = endpoint;
    this.endpointLeft = false;
    this.unsent = false;
    this.frontPort = await findFreePort();
    this.senderFront = await openFrontServer({
      address: `127.0.0.1:${this.frontPort}`,
      onFailure: (error) => assert.fail(String(error)),
      answer: async ({ target }, answer) => {
        try {
          const { body } = await sender.send(buildCall(target), {
            endpoint,
            getLeftMs: () => 1_000,
            rank: 1,
          }, { signal: answer.left });
          for await (const _chunk of body);
          answer.start(200, [], { length: 0 });
          answer.end();
          this.answered += 1;
        } catch {
          assert.ok(answer.left.aborted);
        }
      },
    });
    // Opens a connection to the endpoint, on which further requests go out at once.
    openCaller(this).write(buildRequest("/warm"));
    await waitUntil("first request is answered", () => this.answered === 1);
    await waitFor(settleMs);
  },
);

function openCaller(world: SenderWorld): Socket {
  const socket = connect({ host: "127.0.0.1", port: world.frontPort });
  socket.on("error", () => undefined);
  return socket;
}

function buildRequest(path: string): string {
  return `GET ${path} HTTP/1.1\r\nhost: host\r\n\r\n`;
}

When(
  "a caller sends a request and leaves before it is read",
  async function (this: SenderWorld): Promise<void> {
    openCaller(this).end(buildRequest("/left"));
    await waitFor(settleMs);
  },
);

When(
  "a caller sends a request and resets its connection before it is read",
  async function (this: SenderWorld): Promise<void> {
    const socket = openCaller(this);
    socket.write(buildRequest("/left"), () => socket.resetAndDestroy());
    await waitFor(settleMs);
  },
);

When(
  "the endpoint leaves while a request to it is being prepared",
  async function (this: SenderWorld): Promise<void> {
    const { endpoint } = this;
    const sent = this.sender.send(buildCall("/left"), {
      endpoint,
      getLeftMs: () => 1_000,
      rank: 1,
    }, {
      signal: new AbortController().signal,
      mayWrite: () => !this.endpointLeft,
    });
    this.endpointLeft = true;
    await sent.catch((error: unknown) => {
      this.unsent = error instanceof RemoteError &&
        error.effect === Effect.None;
    });
    await waitFor(settleMs);
  },
);

Then("the request counts as unsent", function (this: SenderWorld): void {
  assert.ok(this.unsent);
});

Then(
  "the endpoint gets no request of that caller",
  function (this: SenderWorld): void {
    assert.deepEqual(this.reached, ["/warm"]);
  },
);
