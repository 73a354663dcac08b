/** A bare pipe to one engine, which the daemon is compared with. */
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { randomUUID } from "node:crypto";
import { Priority } from "@trefoildoor/core";
import { Pool } from "undici";

/** A running pipe. */
export interface Pipe {
  readonly address: string;
  readonly close: () => Promise<void>;
}

const host = "127.0.0.1";
const engineConnections = 512;

/** Starts a server that passes the engine's bytes through undici to the caller. */
export async function startPipe(engineAddress: string): Promise<Pipe> {
  const pool = new Pool(`http://${engineAddress}`, {
    connections: engineConnections,
    bodyTimeout: 0,
  });
  const server = createServer(async (request, response) => {
    if (request.url === "/readyz") {
      response.end("{}");
      return;
    }
    const body = JSON.parse(await readText(request));
    const answer = await pool.request({
      method: "POST",
      path: "/v1/completions",
      headers: { "content-type": "application/json" },
      body: JSON.stringify({
        ...body,
        trefoildoor: { attempt_id: randomUUID(), priority: Priority.Normal },
      }),
    });
    response.writeHead(answer.statusCode, {
      "content-type": String(answer.headers["content-type"]),
    });
    answer.body.pipe(response);
  });
  await new Promise<void>((resolve) => server.listen(0, host, resolve));
  const { port } = server.address() as AddressInfo;
  return {
    address: `${host}:${port}`,
    close: async () => {
      server.closeAllConnections();
      server.close();
      await pool.destroy();
    },
  };
}

async function readText(source: AsyncIterable<unknown>): Promise<string> {
  let text = "";
  for await (const chunk of source) text += String(chunk);
  return text;
}
