/** Steps of `torn_answers.feature`. */
import assert from "node:assert/strict";
import {
  type AddressInfo,
  createServer,
  type Server,
  type Socket,
} from "node:net";
import { After, Given, Then, When } from "@cucumber/cucumber";
import { RemoteError } from "../types/index.ts";
import { openEndpointClients } from "./endpoint/index.ts";

/** State of one scenario. */
interface TornWorld {
  service?: Server;
  result: string;
}

const host = "127.0.0.1";
const whole = "HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nbody";
const unframed = "HTTP/1.1 200 OK\r\n\r\nbody";
const settleMs = 40;
const bytesPerMegabyte = 1_048_576;

After(function (this: TornWorld): void {
  this.service?.close();
});

function answerScripted(
  socket: Socket,
  { server, script }: { readonly server: Server; readonly script: string },
): void {
  const head = /^head of (\d+) bytes$/.exec(script);
  if (head) return void socket.end(whole.slice(0, Number(head[1])));
  if (script.startsWith("HTTP/")) {
    return void socket.end(`${script.replaceAll("; ", "\r\n")}\r\n\r\nbody`);
  }
  switch (script) {
    case "whole":
      return void socket.end(whole);
    case "torn":
      return void socket.end(whole.slice(0, -2));
    case "chunks without the last":
      return void socket.end(
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nbody\r\n",
      );
    case "without length":
      return void socket.end(unframed);
    case "without length, process ended":
      server.close();
      return void socket.end(unframed);
    case "without length, reset at once":
      return void socket.write(unframed, () => socket.resetAndDestroy());
    default:
      socket.write(unframed);
      setTimeout(() => socket.resetAndDestroy(), settleMs);
  }
}

Given(
  /^a service that answers "([^"]*)"( and reads no more)?$/,
  async function (
    this: TornWorld,
    script: string,
    isEarly: string | null,
  ): Promise<void> {
    const server = createServer((socket) => {
      socket.on("error", () => undefined);
      socket.once("data", () => {
        if (isEarly !== null) socket.pause();
        answerScripted(socket, { server, script });
      });
    });
    this.service = server;
    await new Promise<void>((resolve) => server.listen(0, host, resolve));
  },
);

When("the service is called", async function (this: TornWorld): Promise<void> {
  await callService(this, "");
});

When("the service is called with a body of {int} MB", async function (
  this: TornWorld,
  megabytes: number,
): Promise<void> {
  await callService(this, "x".repeat(megabytes * bytesPerMegabyte));
});

async function callService(world: TornWorld, body: string): Promise<void> {
  const { port } = world.service?.address() as AddressInfo;
  const clients = openEndpointClients();
  const service = clients.openService("s1", `${host}:${port}`);
  const request = { method: "POST", path: "/x", headers: {}, body };
  try {
    const answer = await service.call(
      request,
      new AbortController().signal,
    );
    world.result = `${answer.status} ${answer.body}`;
  } catch (error) {
    assert.ok(error instanceof RemoteError);
    world.result = error.effect;
  }
  await clients.close();
}

Then("the answer of the service is {string}", function (
  this: TornWorld,
  expected: string,
): void {
  assert.equal(this.result, expected);
});
