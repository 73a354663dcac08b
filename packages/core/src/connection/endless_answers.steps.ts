/** Steps of `endless_answers.feature`. */
import assert from "node:assert/strict";
import { createServer, type Server, type Socket } from "node:net";
import type { AddressInfo } from "node:net";
import { After, Given, Then, When } from "@cucumber/cucumber";
import { openMemberList, openWeightStore } from "../process/platform/index.ts";
import { RemoteError } from "../types/index.ts";
import { openEndpointClients } from "./endpoint/index.ts";

/** State of one scenario. */
interface EndlessWorld {
  endless?: Server;
  sockets: Socket[];
  error?: unknown;
  tookMs: number;
}

const host = "127.0.0.1";
const bytesPerMb = 1_048_576;
const blockBytes = 65_536;
/** Bytes after which the server closes a connection all the same. */
const maxBytes = 200 * bytesPerMb;
const testTimeoutMs = 15_000;
const chunkedHead = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";

/** Bytes that come once, and those that are repeated after them. */
const bytesByPart: Readonly<Record<string, readonly [string, string]>> = {
  "in the body": ["HTTP/1.1 200 OK\r\n\r\n", "x"],
  "in the body of a failure": ["HTTP/1.1 503 Busy\r\n\r\n", "x"],
  "in many headers": ["HTTP/1.1 200 OK\r\n", "x-many: x\r\n"],
  "in interim answers": ["", "HTTP/1.1 102 Processing\r\n\r\n"],
  "in the extension of a chunk": [`${chunkedHead}5;a=`, "x"],
  "in trailers": [`${chunkedHead}0\r\n`, "x-many: x\r\n"],
};

After(function (this: EndlessWorld): void {
  this.endless?.close();
  for (const socket of this.sockets ?? []) socket.destroy();
});

Given(/^a server whose answers have no end (.+)$/, async function (
  this: EndlessWorld,
  where: string,
): Promise<void> {
  const [once, repeated] = bytesByPart[where] ?? ["", "x"];
  const block = Buffer.from(
    repeated.repeat(Math.ceil(blockBytes / repeated.length)),
  );
  this.sockets = [];
  const server = createServer((socket) => {
    this.sockets.push(socket);
    const writeMore = (): void => {
      while (!socket.destroyed && socket.write(block));
      if (socket.bytesWritten > maxBytes) socket.destroy();
    };
    socket.on("error", () => undefined);
    socket.on("drain", writeMore);
    socket.once("data", () => {
      socket.write(once);
      writeMore();
    });
  });
  this.endless = server;
  await new Promise<void>((resolve) => server.listen(0, host, resolve));
});

When(
  /^(a call of a service|a look-up|a probe of a service|a report of an engine|a generation|a list of the processes|a reservation) asks it$/,
  { timeout: testTimeoutMs },
  async function (this: EndlessWorld, call: string): Promise<void> {
    const { port } = this.endless?.address() as AddressInfo;
    const startMs = performance.now();
    try {
      await makeCall(call, `${host}:${port}`);
    } catch (error) {
      this.error = error;
    }
    this.tookMs = performance.now() - startMs;
  },
);

async function makeCall(call: string, address: string): Promise<void> {
  const clients = openEndpointClients();
  const service = clients.openService("s1", address);
  const engine = clients.openEngine("e1", address);
  const { signal } = new AbortController();
  const members = openMemberList({ address });
  const weights = openWeightStore({ address });
  const request = { method: "POST", path: "/x", headers: {}, body: "" };
  try {
    switch (call) {
      case "a call of a service":
        return void await service.call(request, signal);
      case "a look-up":
        return void await service.lookUp?.("key", signal);
      case "a probe of a service":
        return await service.ping(signal);
      case "a report of an engine":
        return void await engine.fetchLoad(signal);
      case "a list of the processes":
        return void await members.listMembers(signal);
      case "a reservation":
        return void await weights.reserveWeightLoad("weights", signal);
      default:
        for await (
          const _event of engine.resume(
            { attemptId: "a", fromIndex: 0 },
            signal,
          )
        );
    }
  } finally {
    await Promise.all([clients.close(), members.close(), weights.close()]);
  }
}

Then(
  "the call fails within {int} ms, and at most {int} MB were taken of the answer",
  function (this: EndlessWorld, ms: number, mb: number): void {
    assert.ok(this.error instanceof RemoteError, String(this.error));
    assert.ok(this.tookMs <= ms, `${Math.round(this.tookMs)} ms`);
    const takenMb = this.sockets.reduce(
      (sum, { bytesWritten }) => sum + bytesWritten,
      0,
    ) / bytesPerMb;
    assert.ok(takenMb <= mb, `${Math.round(takenMb)} MB`);
  },
);
