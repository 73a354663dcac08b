/** Steps of `front_server.feature`. */
import { strict as assert } from "node:assert";
import { connect, createServer, type Socket } from "node:net";
import { After, Given, Then, When } from "@cucumber/cucumber";
import { waitFor } from "@trefoildoor/core";
import { waitUntil } from "@trefoildoor/testing";
import {
  type CallerRequest,
  type FrontServer,
  openFrontServer,
} from "./front_server.ts";

/** State of one scenario. */
interface FrontWorld {
  front?: FrontServer;
  frontAddress: { host: string; port: number };
  forwarded: CallerRequest[];
  leftSeen: boolean;
  frontSockets: Socket[];
  received: string;
  broken: boolean;
  slowResponse?: Promise<string>;
  idleSocket?: Socket;
  /** Bytes that a caller has read, with the head of its answer. */
  readBytes: number;
}

/** Error of a handler that fails after it has begun its answer. */
const handlerFailure = new Error("handler failed");
const settleMs = 100;
/** Time for a head, in ms, that some callers exceed. */
const shortMs = 300;
const requestBegin = "POST /size/ HTTP/1.1\r\nhost: a\r\n";
const requestRest = "content-length: 0\r\n\r\n";
const limits = {
  maxHeaderBytes: 16_384,
  maxBodyBytes: 1_000_000,
  headerTimeoutMs: 3_000,
  idleTimeoutMs: 5_000,
};

After(function (this: FrontWorld): void {
  for (const socket of this.frontSockets ?? []) socket.destroy();
  this.front?.stopAccepting();
});

async function findFreePort(): Promise<number> {
  const server = createServer();
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const address = server.address();
  await new Promise((resolve) => server.close(resolve));
  assert.ok(address && typeof address === "object");
  return address.port;
}

Given("a listener for callers", async function (
  this: FrontWorld,
): Promise<void> {
  this.forwarded = [];
  this.leftSeen = false;
  this.frontSockets = [];
  this.received = "";
  this.broken = false;
  const port = await findFreePort();
  this.frontAddress = { host: "127.0.0.1", port };
  this.front = await openFrontServer({
    address: `127.0.0.1:${port}`,
    headCheckIntervalMs: settleMs,
    onFailure: (error) => {
      if (error !== handlerFailure) assert.fail(String(error));
    },
    answer: async (request, answer) => {
      this.forwarded.push(request);
      answer.left.addEventListener("abort", () => this.leftSeen = true);
      const [, step = "", text = ""] = request.target.split("/");
      if (step === "slow") await waitFor(Number(text));
      if (step === "hang") return;
      if (step === "large") {
        const body = Buffer.alloc(Number(text));
        answer.start(200, [], { length: body.length });
        void answer.write(body);
        return answer.end();
      }
      const body = step === "size" ? String(request.body.length) : text;
      const untilClose = step.startsWith("unframed");
      answer.start(
        200,
        [],
        step === "size" ? { length: body.length } : { untilClose },
      );
      await answer.write(Buffer.from(body));
      // The caller has the first part before the cut.
      if (/cut$|fails$/.test(step)) await waitFor(50);
      if (step.endsWith("fails")) throw handlerFailure;
      if (step.endsWith("cut")) answer.cut();
      else answer.end();
    },
  });
  this.front.applyLimits(limits);
});

function openSocket(world: FrontWorld): Socket {
  const socket = connect(world.frontAddress);
  world.frontSockets.push(socket);
  return socket;
}

/** Sends bytes and resolves to everything received until the connection ends. */
function sendBytes(world: FrontWorld, bytes: string): Promise<string> {
  const socket = openSocket(world);
  let text = "";
  return new Promise((resolve) => {
    socket.on("data", (chunk) => text += chunk.toString());
    socket.on("error", () => world.broken = true);
    socket.on("close", () => resolve(text));
    socket.write(bytes);
  });
}

function buildRequest(path: string, bytes: number): string {
  return `POST ${path} HTTP/1.1\r\nhost: a\r\nconnection: close\r\n` +
    `content-length: ${bytes}\r\n\r\n${"x".repeat(bytes)}`;
}

When(
  "a caller sends a request with {int} bytes",
  async function (this: FrontWorld, bytes: number): Promise<void> {
    this.received = await sendBytes(this, buildRequest("/size/", bytes));
  },
);

When("the configuration allows {int} bytes", function (
  this: FrontWorld,
  maxBodyBytes: number,
): void {
  this.front?.applyLimits({ ...limits, maxBodyBytes });
});

When("a caller leaves while its request runs", async function (
  this: FrontWorld,
): Promise<void> {
  const socket = openSocket(this);
  socket.write(buildRequest("/hang/", 1));
  await waitUntil("request forwarded", () => this.forwarded.length === 1);
  socket.destroy();
});

When(
  /^a caller sends a request whose (framed |unframed )?answer (is|is cut after|fails after) "(.*)"$/,
  async function (
    this: FrontWorld,
    kind: string | null,
    how: string,
    text: string,
  ): Promise<void> {
    const ends = { "is cut after": "cut", "fails after": "fails" }[how] ?? "";
    const step = `${kind?.trim() ?? "framed"}${ends}`;
    this.received = await sendBytes(this, buildRequest(`/${step}/${text}`, 1));
  },
);

When("a caller sends a request with two kinds of framing", async function (
  this: FrontWorld,
): Promise<void> {
  this.received = await sendBytes(
    this,
    "POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 4\r\n" +
      "transfer-encoding: chunked\r\n\r\n0\r\n\r\n",
  );
});

When(
  /^a caller sends a request that takes (\d+) ms, and then (the beginning of another one|bytes that are no request)$/,
  async function (this: FrontWorld, ms: string, rest: string): Promise<void> {
    this.front?.applyLimits({ ...limits, headerTimeoutMs: shortMs });
    const request = `POST /slow/${ms} HTTP/1.1\r\nhost: a\r\n` +
      "content-length: 0\r\n\r\n";
    const next = rest.startsWith("bytes") ? "?".repeat(shortMs) : requestBegin;
    this.received = await sendBytes(this, request + next);
  },
);

When("a caller sends the beginning of a request", async function (
  this: FrontWorld,
): Promise<void> {
  this.front?.applyLimits({ ...limits, headerTimeoutMs: shortMs });
  this.received = await sendBytes(this, requestBegin);
});

When(
  "a caller sends the beginning of a request, and its rest while the process is stopped for {int} ms",
  async function (this: FrontWorld, ms: number): Promise<void> {
    this.front?.applyLimits({ ...limits, headerTimeoutMs: shortMs });
    const received = sendBytes(this, requestBegin);
    await waitFor(settleMs);
    await sendWhileStopped(this, { text: requestRest, ms });
    this.received = await received;
  },
);

/** Writes on the newest connection and stops the process at once, so that timers are due before connections are read again. */
async function sendWhileStopped(
  world: FrontWorld,
  { text, ms }: { readonly text: string; readonly ms: number },
): Promise<void> {
  await new Promise((resolve) => void setImmediate(resolve));
  world.frontSockets.at(-1)?.write(text);
  Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, ms);
}

When(
  /^the caller sends (a|the beginning of a) request while the process is stopped for (\d+) ms$/,
  async function (this: FrontWorld, part: string, ms: string): Promise<void> {
    const rest = part === "a" ? requestRest : "";
    this.idleSocket?.on("data", (chunk) => this.received += chunk.toString());
    await waitFor(settleMs);
    await sendWhileStopped(this, {
      text: requestBegin + rest,
      ms: Number(ms),
    });
  },
);

When("the caller sends the rest", async function (
  this: FrontWorld,
): Promise<void> {
  await waitFor(settleMs);
  this.idleSocket?.write(requestRest);
});

Then("the caller's request on the kept connection is answered", async function (
  this: FrontWorld,
): Promise<void> {
  await waitUntil(
    "answered or closed",
    () => this.received !== "" || (this.idleSocket?.closed ?? true),
    { deadlineMs: 2_000 },
  );
  assert.match(this.received, /^HTTP\/1\.1 200 /);
});

Then("the caller gets status 200 and nothing else", function (
  this: FrontWorld,
): void {
  assert.match(this.received, /^HTTP\/1\.1 200 /);
  assert.equal(this.received.split("HTTP/1.1").length, 2, this.received);
  assert.ok(this.received.endsWith("0\r\n\r\n"), this.received);
});

When("the listener is leaving", function (this: FrontWorld): void {
  this.front?.startLeaving();
});

Given("callers may leave connections idle for {int} ms", function (
  this: FrontWorld,
  idleTimeoutMs: number,
): void {
  this.front?.applyLimits({ ...limits, idleTimeoutMs });
});

Given("a caller with a kept connection", async function (
  this: FrontWorld,
): Promise<void> {
  const socket = openSocket(this);
  socket.write("GET /size/ HTTP/1.1\r\nhost: a\r\n\r\n");
  await new Promise((resolve) => socket.once("data", resolve));
  socket.on("error", () => undefined);
  this.idleSocket = socket;
});

Given("a caller whose request takes {int} ms", async function (
  this: FrontWorld,
  ms: number,
): Promise<void> {
  const before = this.forwarded.length;
  this.slowResponse = sendBytes(this, buildRequest(`/slow/${ms}`, 1));
  await waitUntil("request forwarded", () => this.forwarded.length > before);
});

Given(
  "a caller that does not read its answer of {int} bytes",
  async function (this: FrontWorld, bytes: number): Promise<void> {
    const socket = openSocket(this);
    socket.pause();
    socket.write(buildRequest(`/large/${bytes}`, 1));
    this.idleSocket = socket;
    this.readBytes = 0;
    await waitUntil("request forwarded", () => this.forwarded.length === 1);
    await waitFor(settleMs);
  },
);

When("the caller reads its answer", async function (
  this: FrontWorld,
): Promise<void> {
  const socket = this.idleSocket;
  assert.ok(socket);
  await waitFor(settleMs);
  socket.on("data", (chunk: Buffer) => this.readBytes += chunk.length);
  socket.on("error", () => undefined);
  const closed = new Promise((resolve) => socket.once("close", resolve));
  socket.resume();
  await closed;
});

Then("the caller has all of the {int} bytes", function (
  this: FrontWorld,
  bytes: number,
): void {
  assert.ok(this.readBytes > bytes, String(this.readBytes));
});

When("the listener takes nothing more", function (this: FrontWorld): void {
  this.front?.stopAccepting();
});

Then(
  "the caller gets status {int} and the body {string}",
  function (this: FrontWorld, status: number, body: string): void {
    assert.ok(this.received.startsWith(`HTTP/1.1 ${status} `), this.received);
    assert.equal(this.received.split("\r\n\r\n")[1], body);
    assert.equal(this.broken, false);
  },
);

Then("{int} requests were forwarded", function (
  this: FrontWorld,
  expected: number,
): void {
  assert.equal(this.forwarded.length, expected);
});

Then("the request is told that its caller has left", async function (
  this: FrontWorld,
): Promise<void> {
  await waitUntil("told", () => this.leftSeen, { deadlineMs: 2_000 });
});

Then("the caller sees its answer break off", function (
  this: FrontWorld,
): void {
  const whole = this.received.endsWith("0\r\n\r\n");
  assert.ok(this.received.includes("part"), this.received);
  assert.ok(!whole);
  assert.ok(this.broken || this.received.includes("chunked"));
});

Then("the caller is told to close its connection", function (
  this: FrontWorld,
): void {
  assert.match(this.received, /connection: close/i);
});

Then("the kept connection is closed", function (
  this: FrontWorld,
): Promise<void> {
  return waitForClose(this, 2_000);
});

Then(
  "the kept connection is closed within {int} ms",
  function (this: FrontWorld, ms: number): Promise<void> {
    return waitForClose(this, ms);
  },
);

function waitForClose(
  { idleSocket }: FrontWorld,
  deadlineMs: number,
): Promise<void> {
  return waitUntil("closed", () => idleSocket?.closed ?? false, { deadlineMs });
}

Then("the request that takes long is answered with {int}", async function (
  this: FrontWorld,
  status: number,
): Promise<void> {
  assert.match(
    (await this.slowResponse) ?? "",
    new RegExp(`^HTTP/1.1 ${status} `),
  );
});

Then("new connections are refused", async function (
  this: FrontWorld,
): Promise<void> {
  const socket = openSocket(this);
  const refused = await new Promise((resolve) => {
    socket.once("connect", () => resolve(false));
    socket.once("error", () => resolve(true));
  });
  assert.equal(refused, true);
});
