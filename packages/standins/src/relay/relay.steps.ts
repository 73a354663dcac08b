/** Steps of `relay.feature`. */
import { type AddressInfo, connect, createServer, type Socket } from "node:net";
import type { Server } from "node:net";
import { strict as assert } from "node:assert";
import { After, Given, Then, When } from "@cucumber/cucumber";
import { waitUntil } from "@trefoildoor/testing";
import {
  Direction,
  NewConnections,
  type Relay,
  Scope,
  startRelay,
} from "./relay.ts";

/** One end of a relayed connection. */
interface Peer {
  readonly socket: Socket;
  received: string;
  closed: boolean;
}

/** State of one scenario. */
interface RelayWorld {
  echoServer?: Server;
  echoHeard: Set<string>;
  echoSockets: Set<Socket>;
  relay: Relay;
  peers: Map<string, Peer>;
  resets: { readonly received: string; readonly wasReset: boolean }[];
  matchSnapshot: (received: unknown) => void;
}

async function openPeer(world: RelayWorld, name: string): Promise<Peer> {
  const known = world.peers.get(name);
  if (known) return known;
  const [host, port] = world.relay.address.split(":");
  const socket = connect({ host, port: Number(port) });
  const peer: Peer = { socket, received: "", closed: false };
  world.peers.set(name, peer);
  socket.on("error", () => {});
  socket.on("data", (bytes) => peer.received += String(bytes));
  socket.once("close", () => peer.closed = true);
  socket.write("hello\n");
  await waitUntil(
    `${name} is answered or closed`,
    () => peer.received === "hello\n" || peer.closed,
  );
  return peer;
}

When(
  "{int} connections are answered {string} and reset at once",
  async function (
    this: RelayWorld,
    count: number,
    part: string,
  ): Promise<void> {
    const resetter = createServer((socket) => {
      socket.on("error", () => {});
      socket.once("data", () => {
        socket.write(part, () => socket.resetAndDestroy());
      });
    });
    await new Promise<void>((resolve) =>
      resetter.listen(0, "127.0.0.1", resolve)
    );
    const { port } = resetter.address() as AddressInfo;
    this.relay.setTarget(`127.0.0.1:${port}`);
    this.resets = await Promise.all(
      Array.from({ length: count }, () => readReset(this.relay.address)),
    );
    resetter.close();
  },
);

/** Reads until the connection ends; a reset that comes with bytes ends it without an error, and without another side. */
function readReset(
  address: string,
): Promise<RelayWorld["resets"][number]> {
  const [host, port] = address.split(":");
  const socket = connect({ host, port: Number(port) });
  let received = "";
  let wasReset = false;
  socket.on("data", (bytes) => received += String(bytes));
  socket.on("end", () => wasReset ||= socket.remoteAddress === undefined);
  socket.on("error", () => wasReset = true);
  socket.write("hello");
  return new Promise((resolve) =>
    socket.once("close", () => resolve({ received, wasReset }))
  );
}

Then(
  "each of them has {string} or less, and was reset",
  function (this: RelayWorld, part: string): void {
    for (const { received, wasReset } of this.resets) {
      assert.ok(wasReset && part.startsWith(received), received);
    }
  },
);

Given(
  "an echo server behind a relay with seed {int}",
  async function (this: RelayWorld, seed: number): Promise<void> {
    this.peers = new Map();
    this.echoSockets = new Set();
    this.echoHeard = new Set();
    this.echoServer = createServer((socket) => {
      this.echoSockets.add(socket);
      socket.on("error", () => {});
      socket.on("data", (bytes) => {
        this.echoHeard.add(String(bytes));
        socket.write(bytes);
      });
    });
    await new Promise<void>((resolve) =>
      this.echoServer?.listen(0, "127.0.0.1", resolve)
    );
    const { port } = this.echoServer.address() as AddressInfo;
    this.relay = await startRelay({ target: `127.0.0.1:${port}`, seed });
  },
);

When(
  "the link is delayed by {int} ms with {int} ms of jitter",
  function (this: RelayWorld, delayMs: number, jitterMs: number): void {
    this.relay.setFaults({ delayMs, jitterMs });
  },
);

When(
  "a third of the chunks are lost for {int} ms",
  function (this: RelayWorld, lossDelayMs: number): void {
    this.relay.setFaults({ lossShare: 1 / 3, lossDelayMs });
  },
);

When(
  "connection {string} opens and the open connections stall",
  async function (this: RelayWorld, name: string): Promise<void> {
    await openPeer(this, name);
    this.relay.setFaults({ stalled: true }, { scope: Scope.Open });
  },
);

When(
  "connection {string} opens and the open connections become a black hole",
  async function (this: RelayWorld, name: string): Promise<void> {
    await openPeer(this, name);
    this.relay.setFaults({ blackhole: true }, { scope: Scope.Open });
  },
);

When(
  "connection {string} opens and the open connections become half-open",
  async function (this: RelayWorld, name: string): Promise<void> {
    await openPeer(this, name);
    this.relay.halfOpenAll();
  },
);

When(
  "connection {string} opens and the open connections are cut",
  async function (this: RelayWorld, name: string): Promise<void> {
    const peer = await openPeer(this, name);
    this.relay.cutAll();
    await waitUntil("the connection is closed", () => peer.closed);
  },
);

When(
  "connection {string} opens and new connections are cut",
  async function (this: RelayWorld, name: string): Promise<void> {
    await openPeer(this, name);
    this.relay.setNewConnections(NewConnections.Cut);
  },
);

When(
  "connection {string} opens and its answers become a black hole",
  async function (this: RelayWorld, name: string): Promise<void> {
    await openPeer(this, name);
    this.relay.setFaults({ blackhole: true }, {
      scope: Scope.Open,
      direction: Direction.FromTarget,
    });
  },
);

When(
  "connection {string} sends {string} while connection {string} sends {string}",
  async function (
    this: RelayWorld,
    first: string,
    lost: string,
    second: string,
    passed: string,
  ): Promise<void> {
    const silent = await openPeer(this, first);
    silent.socket.write(lost);
    const lively = await openPeer(this, second);
    lively.socket.write(passed);
    await waitUntil(
      "the other connection is answered",
      () => lively.received.endsWith(passed),
    );
  },
);

When(
  "the stall ends and connection {string} is answered {string}",
  async function (this: RelayWorld, name: string, text: string): Promise<void> {
    this.relay.setFaults({ stalled: false });
    const peer = this.peers.get(name);
    await waitUntil(
      "it is answered",
      () => peer?.received.endsWith(text) ?? false,
    );
  },
);

When("the black hole ends", async function (this: RelayWorld): Promise<void> {
  this.relay.setFaults({ blackhole: false });
  const probe = await openPeer(this, "c");
  probe.socket.destroy();
  this.peers.delete("c");
});

Then(
  "{int} numbered lines come back whole and in order, none sooner than {int} ms",
  async function (
    this: RelayWorld,
    count: number,
    earliestMs: number,
  ): Promise<void> {
    const peer = await openPeer(this, "a");
    peer.received = "";
    const start = performance.now();
    let firstMs = Infinity;
    peer.socket.once("data", () => firstMs = performance.now() - start);
    let expected = "";
    for (let line = 0; line < count; line++) {
      expected += `line ${line}\n`;
      peer.socket.write(`line ${line}\n`);
      await new Promise((resolve) => setImmediate(resolve));
    }
    await waitUntil(
      "all lines are back",
      () => peer.received.length >= expected.length,
    );
    if (peer.received !== expected) throw new Error("lines differ");
    if (firstMs < earliestMs) throw new Error(`first after ${firstMs} ms`);
  },
);

Then(
  "the relayed connections match the snapshot",
  function (this: RelayWorld): void {
    const peers = [...this.peers].sort(([left], [right]) =>
      left.localeCompare(right)
    );
    this.matchSnapshot({
      heard: [...this.echoHeard].sort(),
      connections: peers.map(([name, { received, closed }]) => ({
        name,
        received,
        closed,
      })),
    });
  },
);

After(async function (this: Partial<RelayWorld>): Promise<void> {
  for (const { socket } of this.peers?.values() ?? []) socket.destroy();
  for (const socket of this.echoSockets ?? []) socket.destroy();
  await this.relay?.close();
  this.echoServer?.close();
});
