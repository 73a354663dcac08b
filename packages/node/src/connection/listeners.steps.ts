/** Steps of `listeners.feature`. */
import assert from "node:assert/strict";
import { createSocket, type Socket } from "node:dgram";
import { once } from "node:events";
import { type AddressInfo, connect, createServer } from "node:net";
import { After, Given, Then, When } from "@cucumber/cucumber";
import { emptyControlState, waitFor } from "@trefoildoor/core";
import { waitUntil } from "@trefoildoor/testing";
import { generate } from "selfsigned";
import { Agent, request } from "undici";
import { openMetrics } from "../process/metrics.ts";
import { createHealthApp } from "../request/health_app.ts";
import { type Settings, settingsSchema } from "../settings/index.ts";
import { BodyKind, type Gateway, openGateway } from "./gateway.ts";
import {
  openPeerClient,
  openPeerServer,
  type PeerDigest,
} from "./peers/index.ts";

/** State of one scenario. */
interface ListenerWorld {
  certificate: { readonly cert: string; readonly private: string };
  closers?: (() => Promise<unknown> | void)[];
  answer: unknown;
  gateway?: Gateway;
  digests: PeerDigest[];
  receiver: Socket;
  packets: string[];
  /** Bytes that a connection has taken from a peer. */
  takenBytes: number;
  matchSnapshot: (received: unknown) => void;
}

const bytesPerMb = 1_048_576;
const blockBytes = 65_536;
/** Bytes after which the peer closes its connection all the same. */
const maxPeerBytes = 200 * bytesPerMb;
const emptyCall = "POST /call HTTP/1.1\r\nhost: a\r\ncontent-length: 0\r\n\r\n";
/** Time for a step in which the process is stopped. */
const stopStepMs = 15_000;
const key = "a key that all instances share";

After(async function (this: ListenerWorld): Promise<void> {
  for (const close of this.closers ?? []) await close();
});

Given("a certificate made for this test", async function (
  this: ListenerWorld,
): Promise<void> {
  this.closers = [];
  this.takenBytes = 0;
  this.digests = [];
  this.certificate = await generate([{
    name: "commonName",
    value: "127.0.0.1",
  }], {
    keySize: 2_048,
    extensions: [{
      name: "subjectAltName",
      altNames: [{ type: 7, ip: "127.0.0.1" }],
    }],
  });
});

When(
  "a caller asks a gateway with that certificate for its health",
  async function (this: ListenerWorld): Promise<void> {
    const health = {
      ready: true,
      instance: "one",
      failureDomain: "sapporo",
      version: 3,
    };
    const gateway = await openGateway(buildSettings(this).callers, {
      apps: [createHealthApp(() => health)],
      environment: {},
      onFailure: (error) => assert.fail(String(error)),
    });
    const dispatcher = new Agent({ connect: { ca: this.certificate.cert } });
    this.closers?.push(() => dispatcher.close(), gateway.close);
    const { body } = await request(`https://${gateway.address}/readyz`, {
      dispatcher,
    });
    this.answer = await body.json();
  },
);

Then(
  "the caller reads that the instance is ready",
  function (this: ListenerWorld): void {
    assert.deepEqual(this.answer, {
      ready: true,
      instance: "one",
      failureDomain: "sapporo",
      version: 3,
    });
  },
);

When(
  "two instances with that certificate exchange digests",
  async function (this: ListenerWorld): Promise<void> {
    const client = await openPeer(this);
    this.answer = await client.exchange(buildDigest("two"));
  },
);

Then("each has the digest of the other", function (this: ListenerWorld): void {
  assert.deepEqual(this.answer, buildDigest("one"));
  assert.deepEqual(this.digests, [buildDigest("two")]);
});

When(
  "an instance sends a digest of the wrong shape",
  async function (this: ListenerWorld): Promise<void> {
    const client = await openPeer(this);
    const wrong = { ...buildDigest("two"), controlNext: -1 };
    this.answer = await client.exchange(wrong).then(
      () => "taken",
      () => "refused",
    );
  },
);

Then(
  "the digest is refused and the peer has taken nothing",
  function (this: ListenerWorld): void {
    assert.equal(this.answer, "refused");
    assert.deepEqual(this.digests, []);
  },
);

Given(
  "a caller that does not read an answer of {int} bytes",
  async function (this: ListenerWorld, bytes: number): Promise<void> {
    this.gateway = await openGateway(buildSettings(this).callers, {
      apps: [{
        path: "/",
        body: BodyKind.Text,
        handlers: {
          "GET large": (_request, response) => {
            response.writeHead(200, { "content-length": bytes });
            response.end(Buffer.alloc(bytes));
          },
        },
      }],
      environment: {},
      onFailure: (error) => assert.fail(String(error)),
    });
    const dispatcher = new Agent({ connect: { ca: this.certificate.cert } });
    this.closers?.push(() => dispatcher.destroy());
    const { body } = await request(`https://${this.gateway.address}/large`, {
      dispatcher,
    });
    this.answer = body;
  },
);

Given("a gateway whose calls take {int} ms", async function (
  this: ListenerWorld,
  ms: number,
): Promise<void> {
  const { callers } = buildSettings(this);
  this.gateway = await openGateway({ ...callers, tls: undefined }, {
    apps: [{
      path: "/",
      body: BodyKind.Text,
      handlers: {
        "POST call": async (_request, response) => {
          await waitFor(ms);
          response.end("done");
        },
      },
    }],
    environment: {},
    onFailure: (error) => assert.fail(String(error)),
  });
  this.closers?.push(this.gateway.close);
});

When(
  "a caller sends a call and bytes that are no request over one connection",
  async function (this: ListenerWorld): Promise<void> {
    const [host = "", port = ""] = this.gateway?.address.split(":") ?? [];
    const socket = connect({ host, port: Number(port) });
    let text = "";
    socket.on("data", (chunk) => text += String(chunk));
    socket.write(emptyCall);
    socket.write("? ? ?\r\n\r\n");
    await once(socket, "close");
    this.answer = text;
  },
);

Then("the caller has read the answer of the call and nothing else", function (
  this: ListenerWorld,
): void {
  const text = String(this.answer);
  assert.match(text, /^HTTP\/1\.1 200 [^]*done/);
  assert.equal(text.split("HTTP/1.1").length, 2, text);
});

When(
  "a caller sends a call, and a second one on its connection while the process is stopped for {int} ms",
  { timeout: stopStepMs },
  async function (this: ListenerWorld, ms: number): Promise<void> {
    const [host = "", port = ""] = this.gateway?.address.split(":") ?? [];
    const socket = connect({ host, port: Number(port) });
    this.closers?.unshift(() => void socket.destroy());
    let text = "";
    socket.on("data", (chunk) => text += String(chunk));
    socket.on("error", () => undefined);
    const isAnswered = (count: number): boolean =>
      text.split("done").length > count;
    socket.write(emptyCall);
    await waitUntil("first answer", () => isAnswered(1));
    // Timers are due before connections are read again.
    await new Promise((resolve) => void setImmediate(resolve));
    socket.write(emptyCall);
    Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, ms);
    await waitUntil("answered or closed", () => isAnswered(2) || socket.closed);
    this.answer = text;
  },
);

Then("the caller has read {int} answers", function (
  this: ListenerWorld,
  count: number,
): void {
  assert.equal(String(this.answer).split("done").length - 1, count);
});

When(
  "an instance sends a digest to a peer whose answer has no end",
  async function (this: ListenerWorld): Promise<void> {
    const block = Buffer.alloc(blockBytes, "x");
    const peer = createServer((socket) => {
      const writeMore = (): void => {
        while (!socket.destroyed && socket.write(block));
        if (socket.bytesWritten > maxPeerBytes) socket.destroy();
      };
      socket.on("error", () => undefined);
      socket.on("drain", writeMore);
      socket.on("close", () => this.takenBytes = socket.bytesWritten);
      socket.once("data", () => {
        socket.write("HTTP/1.1 200 OK\r\n\r\n");
        writeMore();
      });
    });
    peer.listen(0, "127.0.0.1");
    await once(peer, "listening");
    const { port } = peer.address() as AddressInfo;
    const client = openPeerClient(`127.0.0.1:${port}`, {
      settings: { ...buildSettings(this).peers, tls: undefined },
      environment: {},
    });
    this.closers?.push(client.close, () => void peer.close());
    this.answer = await client.exchange(buildDigest("one")).then(
      () => "answered",
      () => "failed",
    );
    await waitUntil("the connection is closed", () => this.takenBytes > 0);
  },
);

Then(
  "the exchange fails, and at most {int} MB were taken of the answer",
  function (this: ListenerWorld, mb: number): void {
    assert.equal(this.answer, "failed");
    assert.ok(this.takenBytes <= mb * bytesPerMb, String(this.takenBytes));
  },
);

When(
  "the gateway closes while the caller reads after {int} ms",
  async function (this: ListenerWorld, delayMs: number): Promise<void> {
    const closing = this.gateway?.close();
    await waitFor(delayMs);
    const body = this.answer as AsyncIterable<Buffer>;
    let bytes = 0;
    try {
      for await (const chunk of body) bytes += chunk.length;
    } catch {
      // What came before the break counts.
    }
    this.answer = bytes;
    await closing;
  },
);

Then("the caller has read {int} bytes", function (
  this: ListenerWorld,
  bytes: number,
): void {
  assert.equal(this.answer, bytes);
});

Given(
  "a receiver of metrics",
  async function (this: ListenerWorld): Promise<void> {
    this.packets = [];
    this.receiver = createSocket("udp4");
    this.receiver.on("message", (packet) => this.packets.push(String(packet)));
    this.receiver.bind(0, "127.0.0.1");
    await once(this.receiver, "listening");
    this.closers = [(): void => {
      this.receiver.close();
    }];
  },
);

When(
  "an instance with that receiver finishes a request",
  async function (this: ListenerWorld): Promise<void> {
    const { port } = this.receiver.address();
    const metrics = openMetrics({
      host: "127.0.0.1",
      port,
      prefix: "trefoildoor.",
    });
    this.closers?.push(metrics.close);
    metrics.recordRequest({
      target: "reader",
      end: "done",
      durationMs: 120,
      firstTokenMs: 40,
      outputTokens: 7,
    });
    await waitUntil("four metrics arrive", () => this.packets.length >= 4);
  },
);

Then(
  "the received metrics match the snapshot",
  function (this: ListenerWorld): void {
    this.matchSnapshot(this.packets.toSorted());
  },
);

async function openPeer(
  world: ListenerWorld,
): Promise<ReturnType<typeof openPeerClient>> {
  const settings = buildSettings(world).peers;
  const server = await openPeerServer(settings, {
    environment: {},
    onRefused: () => assert.fail("the key is right"),
    dependencies: {
      exchange: (digest) => {
        world.digests.push(digest);
        return buildDigest("one");
      },
      getControlState: () => emptyControlState,
    },
  });
  const client = openPeerClient(server.address, { settings, environment: {} });
  world.closers?.push(client.close, server.close);
  return client;
}

function buildSettings({ certificate }: ListenerWorld): Settings {
  const tls = {
    certificate: certificate.cert,
    "private_key": certificate.private,
  };
  const address = "127.0.0.1:1";
  return settingsSchema.parse({
    instance: "one",
    "failure_domain": "sapporo",
    callers: { host: "127.0.0.1", port: 0, tls },
    peers: { host: "127.0.0.1", port: 0, tls, key, ca: certificate.cert },
    platform: { log: address, members: address, weights: address },
    "signing_keys": { operations: "x".repeat(44) },
  });
}

function buildDigest(instance: string): PeerDigest {
  return {
    instance,
    failureDomain: "sapporo",
    controlNext: 0,
    version: 0,
    stopping: false,
    demand: [],
    evidence: { instance, digests: [], trials: [] },
    leaving: [],
  };
}
