/** Steps of `channels.feature`. */
import { strict as assert } from "node:assert";
import { createServer, type Server, type Socket } from "node:net";
import { After, Given, Then, When } from "@cucumber/cucumber";
import {
  ConnectionAttempt,
  Effect,
  RemoteError,
  waitFor,
} from "@trefoildoor/core";
import { waitUntil } from "@trefoildoor/testing";
import { type ChannelAnswer, type Channels, createChannels } from "./index.ts";

/** State of one scenario. */
interface ChannelsWorld {
  channels?: Channels;
  scripted?: Server;
  scriptedAddress: string;
  script: string[];
  /** Requests that the server has got. */
  requests: number;
  sockets: Set<Socket>;
  opened: number;
  results: string[];
  closedByCaller: boolean;
  sentAll: boolean;
  /** Time from the last check of a call until it was written, in ms. */
  writtenAfterMs: number;
  /** Whether a call was written to a connection that had brought a refusal of it. */
  refusedBefore: boolean;
}

const body = "body";
const whole =
  `HTTP/1.1 200 OK\r\ncontent-length: ${body.length}\r\n\r\n${body}`;
const unframed = `HTTP/1.1 200 OK\r\n\r\n${body}`;
const requestEnd = "\r\n\r\n";
/** More than the socket buffers hold while nobody reads. */
const largeBytes = 16_000_000;
const settleMs = 60;

After(function (this: ChannelsWorld): void {
  this.channels?.close();
  for (const socket of this.sockets ?? []) socket.destroy();
  this.scripted?.close();
});

/** Writes the response that a step of the script names. */
function answerScripted(
  world: ChannelsWorld,
  { socket, step }: { readonly socket: Socket; readonly step: string },
): void {
  if (step.startsWith("early")) socket.pause();
  switch (step) {
    case "whole":
      return void socket.write(whole);
    case "whole and extra":
      return void socket.write(whole + whole);
    case "whole then closed":
      return void socket.end(whole);
    case "last":
      return void socket.write(
        whole.replace("\r\n", "\r\nconnection: close\r\n"),
      );
    case "torn":
      return void socket.end(whole.slice(0, -2));
    case "nonsense":
      return void socket.write("\u0001\u0002 what is this\r\n\r\n");
    case "closed":
      return void socket.end();
    case "reset":
      return void socket.resetAndDestroy();
    case "without length":
      return void socket.end(unframed);
    case "reset without length":
      socket.write(unframed);
      return void setTimeout(() => socket.resetAndDestroy(), settleMs);
    case "reset at once without length":
      return void socket.write(unframed, () => socket.resetAndDestroy());
    case "early":
      return void socket.write(whole.replace("200 OK", "413 Too Large"));
    case "early without length; reset at once":
      return void socket.write(unframed, () => socket.resetAndDestroy());
    case "early without length; reset later":
      socket.write(unframed);
      return void setTimeout(() => socket.resetAndDestroy(), settleMs);
    case "early without length; ended":
      return void socket.end(unframed);
    case "endless":
      socket.write("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n");
      return void socket.write("4\r\nbody\r\n");
    default: {
      const head = /^head of (\d+) bytes$/.exec(step);
      if (head) return void socket.end(whole.slice(0, Number(head[1])));
      if (step.startsWith("HTTP/")) {
        return void socket.end(`${step}\r\n\r\n${body}`, "latin1");
      }
      const bytes = Number(step);
      socket.write(`HTTP/1.1 200 OK\r\ncontent-length: ${bytes}\r\n\r\n`);
      socket.write(Buffer.alloc(bytes), () => world.sentAll = true);
    }
  }
}

When("a call goes to the address {string}", async function (
  this: ChannelsWorld,
  address: string,
): Promise<void> {
  await runCall(this, "", { address });
});

Then("a probe of the address {string} fails", async function (
  this: ChannelsWorld,
  address: string,
): Promise<void> {
  assert.equal(
    await this.channels?.probe(address, settleMs),
    ConnectionAttempt.Failed,
  );
});

Given(
  "a server that follows a script",
  async function (this: ChannelsWorld): Promise<void> {
    this.channels = createChannels();
    this.script = [];
    this.requests = 0;
    this.sockets = new Set();
    this.opened = 0;
    this.results = [];
    this.closedByCaller = false;
    this.sentAll = false;
    this.refusedBefore = false;
    this.writtenAfterMs = 0;
    this.scripted = createServer((socket) => {
      this.opened += 1;
      this.sockets.add(socket);
      socket.on("error", () => undefined);
      socket.on("close", () => this.closedByCaller = true);
      let text = "";
      socket.on("data", (chunk) => {
        text += chunk.toString("latin1");
        if (!text.includes(requestEnd)) return;
        text = "";
        this.requests += 1;
        answerScripted(this, { socket, step: this.script.shift() ?? "" });
      });
    });
    await new Promise<void>((resolve) =>
      this.scripted?.listen(0, "127.0.0.1", resolve)
    );
    const address = this.scripted.address();
    assert.ok(address && typeof address === "object");
    this.scriptedAddress = `127.0.0.1:${address.port}`;
  },
);

async function readText(answer: ChannelAnswer): Promise<string> {
  const chunks: Buffer[] = [];
  for await (const chunk of answer.body) chunks.push(chunk);
  return Buffer.concat(chunks).toString();
}

async function runCall(
  world: ChannelsWorld,
  step: string,
  options: {
    readonly maxIdleMs?: number;
    readonly fresh?: boolean;
    readonly address?: string;
    readonly id?: string;
    readonly unrefused?: boolean;
    /** Whether the answer is taken for a refusal. */
    readonly refused?: boolean;
    readonly mayWrite?: () => boolean;
    readonly onWritten?: () => void;
  } = {},
): Promise<void> {
  world.script.push(step);
  try {
    const answer = await world.channels?.exchange(
      options.address ?? world.scriptedAddress,
      {
        method: "POST",
        path: "/x",
        id: options.id,
        unrefused: options.unrefused,
        // The server answers before it has read a long body.
        body: Buffer.alloc(step.startsWith("early") ? largeBytes : 0),
        maxIdleMs: options.maxIdleMs,
        fresh: options.fresh,
        mayWrite: options.mayWrite,
        onWritten: options.onWritten,
        signal: AbortSignal.timeout(5_000),
      },
    );
    assert.ok(answer);
    if (options.refused) answer.recordRefusal();
    world.refusedBefore ||= answer.refusedBefore;
    const text = await readText(answer);
    const framing = answer.framed ? "" : " to the end";
    world.results.push(`${answer.status} ${text}${framing}`);
  } catch (error) {
    assert.ok(error instanceof RemoteError, String(error));
    world.results.push(error.effect === Effect.None ? "not sent" : "unknown");
  }
  await waitFor(settleMs);
}

When(
  "calls are answered {string}",
  async function (this: ChannelsWorld, steps: string): Promise<void> {
    for (const step of steps.split(", ")) await runCall(this, step);
  },
);

When(
  "a call is answered with the head {string}",
  async function (this: ChannelsWorld, lines: string): Promise<void> {
    const head = lines.replaceAll("; ", "\r\n").replaceAll(
      /<(\w\w)>/g,
      (_match, code) => String.fromCharCode(parseInt(code, 16)),
    );
    await runCall(this, `HTTP/1.1 ${head}`);
  },
);

When(
  "the next call allows an idle time of {int} ms and is answered {string}",
  async function (
    this: ChannelsWorld,
    maxIdleMs: number,
    step: string,
  ): Promise<void> {
    await runCall(this, step, { maxIdleMs });
  },
);

When(
  "a call with a connection of its own is answered {string}",
  async function (this: ChannelsWorld, step: string): Promise<void> {
    await runCall(this, step, { fresh: true });
  },
);

When(
  /^the call "(\w+)"( that wants no refusal)? is (?:answered "(.+)"|refused)$/,
  async function (
    this: ChannelsWorld,
    id: string,
    unrefused: string | null,
    step: string | null,
  ): Promise<void> {
    await runCall(this, step ?? "whole", {
      id,
      unrefused: unrefused !== null,
      refused: step === null,
    });
  },
);

When(
  /^(\d+) calls( that want no refusal)? are refused$/,
  async function (
    this: ChannelsWorld,
    count: string,
    unrefused: string | null,
  ): Promise<void> {
    for (let each = 0; each < Number(count); each++) {
      await runCall(this, "whole", {
        id: `refused-${each}`,
        refused: true,
        unrefused: unrefused !== null,
      });
    }
  },
);

When(
  "a call may not be written any more when its connection is ready",
  async function (this: ChannelsWorld): Promise<void> {
    let allowed = true;
    setImmediate(() => allowed = false);
    await runCall(this, "whole", { mayWrite: () => allowed });
  },
);

When(
  "the process stands still for {int} ms while it writes a call",
  async function (this: ChannelsWorld, ms: number): Promise<void> {
    let checkedMs = Infinity;
    await runCall(this, "whole", {
      mayWrite: () => {
        checkedMs = performance.now();
        Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, ms);
        return true;
      },
      onWritten: () => this.writtenAfterMs = performance.now() - checkedMs,
    });
  },
);

Then(
  "it is told at least {int} ms after the check that the call is written",
  function (this: ChannelsWorld, ms: number): void {
    assert.ok(this.writtenAfterMs >= ms, `${this.writtenAfterMs} ms`);
  },
);

Then(
  "no call found a connection with a refusal of it",
  function (this: ChannelsWorld): void {
    assert.equal(this.refusedBefore, false);
  },
);

Then(
  "the server has got {int} requests",
  function (this: ChannelsWorld, expected: number): void {
    assert.equal(this.requests, expected);
  },
);

Then(
  "the server has seen {int} connections end",
  function (this: ChannelsWorld, expected: number): void {
    const ended = [...this.sockets].filter(({ destroyed }) => destroyed);
    assert.equal(ended.length, expected);
  },
);

When(
  "a call is given up while its answer arrives",
  async function (this: ChannelsWorld): Promise<void> {
    this.script.push("endless");
    const abort = new AbortController();
    const answer = await this.channels?.exchange(this.scriptedAddress, {
      method: "GET",
      path: "/x",
      signal: abort.signal,
    });
    assert.ok(answer);
    setTimeout(() => abort.abort(), settleMs);
    await assert.rejects(readText(answer), RemoteError);
    this.results.push("unknown");
  },
);

When(
  "a call goes to an address where nothing listens",
  async function (this: ChannelsWorld): Promise<void> {
    await new Promise((resolve) => this.scripted?.close(resolve));
    await runCall(this, "", { address: this.scriptedAddress });
  },
);

When(
  "an answer of {int} bytes is not read",
  async function (this: ChannelsWorld, bytes: number): Promise<void> {
    this.script.push(String(bytes));
    await this.channels?.exchange(this.scriptedAddress, {
      method: "GET",
      path: "/x",
    });
    await waitFor(10 * settleMs);
  },
);

Then(
  "the results are {string}",
  function (this: ChannelsWorld, expected: string): void {
    assert.equal(this.results.join(", "), expected);
  },
);

Then(
  "{int} connections were opened",
  function (this: ChannelsWorld, expected: number): void {
    assert.equal(this.opened, expected);
  },
);

Then(
  "the server sees its connection closed",
  async function (this: ChannelsWorld): Promise<void> {
    await waitUntil("connection closed", () => this.closedByCaller, {
      deadlineMs: 2_000,
    });
  },
);

Then(
  "the server could not send all of it",
  function (this: ChannelsWorld): void {
    assert.equal(this.sentAll, false);
  },
);
