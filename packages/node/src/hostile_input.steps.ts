/** Steps of `hostile_input.feature`. */
import assert from "node:assert/strict";
import { once } from "node:events";
import { connect } from "node:net";
import { After, type DataTable, Given, Then } from "@cucumber/cucumber";
import {
  createExampleBundle,
  createStopBound,
  digestText,
  emptyControlState,
  ExampleFleet,
  Outcome,
  outcomeHeader,
  parseDocument,
} from "@trefoildoor/core";
import { createMutants, getFuzzOptions } from "@trefoildoor/testing";
import fc from "fast-check";
import { Right } from "purify-ts";
import { fetch } from "undici";
import {
  BodyKind,
  type Gateway,
  type GatewayHandler,
  openGateway,
} from "./connection/gateway.ts";
import {
  openPeerClient,
  openPeerServer,
  type PeerDigest,
  peerDigestSchema,
  type PeerServer,
} from "./connection/peers/index.ts";
import { peerKeyHeader } from "./connection/peers/messages.ts";
import { sendRefusal } from "./connection/responses.ts";
import {
  CompletionKind,
  parseCompletionBody,
} from "./request/completion_body.ts";
import { createServicesApp } from "./request/services_app.ts";
import { settingsSchema } from "./settings/index.ts";
import { buildVersionView } from "./version/view.ts";

/** State of one scenario. */
interface DaemonWorld {
  callerGateway?: Gateway;
  peerServer?: PeerServer;
  /** Unexpected errors of handlers, and refused peer calls. */
  failures: unknown[];
  served: number;
}

/** Long enough for many fuzz runs; only a hang exceeds it. */
const fuzzTimeoutMs = 600_000;
const callerKey = "a-caller-of-the-tests";
const peerKey = "a-key-of-all-instances";
const host = "127.0.0.1";
const httpRuns = 150;
const maxBodyBytes = 16_384;
const callers = {
  host,
  port: 0,
  "max_body_bytes": maxBodyBytes,
  "read_timeout_ms": 2_000,
  "write_timeout_ms": 2_000,
  "max_connections": 100,
};
const peers = { host, port: 0, key: peerKey, "exchange_interval_ms": 500 };
const settings = {
  instance: "entry-1",
  "failure_domain": "sapporo",
  callers: { host, port: 0 },
  peers: { host, port: 0, key: peerKey },
  platform: {
    log: "http://127.0.0.1:1",
    members: "http://127.0.0.1:2",
    weights: "http://127.0.0.1:3",
  },
  "signing_keys": { ops: "a".repeat(60) },
};
const completion = {
  model: "contract-reader:quotes",
  prompt: "How many tents?",
  "max_tokens": 10,
  stream: false,
};
const chat = {
  model: "contract-reader",
  messages: [{ role: "user", content: "How many tents?" }],
};
const digest: PeerDigest = {
  instance: "entry-2",
  failureDomain: "hakodate",
  controlNext: 4_096,
  version: 1,
  stopping: false,
  demand: [{
    instance: "entry-2",
    pool: "drafting",
    fromMs: 0,
    toMs: 1_000,
    requests: 3,
    promptTokens: 300,
    outputTokens: 30,
    refused: 0,
  }],
  evidence: {
    instance: "entry-2",
    digests: [{
      digest: "a".repeat(64),
      crashes: ["engine-1"],
      cleared: [],
      updatedMs: 1,
    }],
    trials: [],
  },
  leaving: ["engine-3"],
};

After(async function (this: DaemonWorld): Promise<void> {
  await this.callerGateway?.close();
  await this.peerServer?.close();
});

Given(
  "a caller gateway that answers completions and services",
  { timeout: fuzzTimeoutMs },
  async function (this: DaemonWorld): Promise<void> {
    this.failures = [];
    this.served = 0;
    const example = createExampleBundle(ExampleFleet.Association, {
      getKeyDigest: (name) =>
        digestText(name === "shop-otaru" ? callerKey : name),
    });
    const signed = { bundle: example, key: "ops", signature: "" };
    const version = buildVersionView({ position: 0, signed });
    this.callerGateway = await openGateway(callers, {
      apps: [
        {
          path: "/v1",
          body: BodyKind.Json,
          handlers: {
            "POST /completions": buildParser(CompletionKind.Text),
            "POST /chat/completions": buildParser(CompletionKind.Chat),
          },
        },
        createServicesApp({
          pinVersion: () => Right(version),
          runCall: () => {
            this.served++;
            return Promise.resolve(Right({
              outcome: Outcome.Done,
              status: 200,
              headers: {},
              body: "{}",
              repeated: false,
            }));
          },
          stopBound: createStopBound(),
        }),
      ],
      environment: {},
      onFailure: (error) => this.failures.push(error),
    });
  },
);

Given("a peer server", async function (this: DaemonWorld): Promise<void> {
  this.failures = [];
  this.peerServer = await openPeerServer(peers, {
    dependencies: {
      exchange: (given) => peerDigestSchema.parse(given),
      getControlState: () => emptyControlState,
    },
    environment: {},
    onRefused: () => this.failures.push("refused"),
  });
});

Then("no settings with random faults crash their check", function (): void {
  const check = (text: string): boolean =>
    parseDocument(text, settingsSchema, { source: "settings.yaml" }).isRight();
  assert.ok(check(JSON.stringify(settings)));
  fc.assert(
    fc.property(createMutants(settings), (mutant) => {
      check(JSON.stringify(mutant) ?? "");
    }),
    getFuzzOptions(),
  );
});

Then(
  "bodies with random faults are answered or refused as not run",
  { timeout: fuzzTimeoutMs },
  async function (this: DaemonWorld): Promise<void> {
    const bodies = fc.oneof(
      createMutants(completion).map((body) => ["/v1/completions", body]),
      createMutants(chat).map((body) => ["/v1/chat/completions", body]),
    );
    await fc.assert(
      fc.asyncProperty(bodies, async ([path, body]) => {
        const text = JSON.stringify(body) ?? "";
        const status = await sendBody(this, String(path), { body: text });
        assert.ok([200, 400, 413].includes(status), `${status}: ${text}`);
      }),
      getFuzzOptions(httpRuns),
    );
  },
);

Then(
  "these bodies are refused as not run",
  { timeout: fuzzTimeoutMs },
  async function (this: DaemonWorld, table: DataTable): Promise<void> {
    for (const { body = "", status } of table.hashes()) {
      const given = hostileBodies[body];
      assert.ok(given, body);
      const answered = await sendBody(this, "/v1/completions", given);
      assert.equal(answered, Number(status), body);
    }
  },
);

Then(
  "random paths, keys and bytes are refused or cut, and never reach a service without a key",
  { timeout: fuzzTimeoutMs },
  async function (this: DaemonWorld): Promise<void> {
    const line = fc.tuple(
      fc.constantFrom("GET", "POST", "TRACE", "get", ""),
      fc.oneof(
        fc.string().map((text) => `/services/booking-desk/${text}`),
        fc.string(),
        fc.constantFrom("/services/%", "/services/__proto__/x", "//", "*"),
      ),
      fc.oneof(
        fc.string().map((key) => `authorization: Bearer ${key}`),
        fc.constant("content-length: -1"),
        fc.constant("transfer-encoding: chunked\r\ncontent-length: 5"),
        fc.string(),
      ),
      fc.string(),
    ).map(([method, path, header, body]) =>
      `${method} ${path} HTTP/1.1\r\nhost: a\r\n${header}\r\n\r\n${body}`
    );
    await fc.assert(
      fc.asyncProperty(line, async (bytes) => {
        const answer = await sendBytes(
          this.callerGateway?.address ?? "",
          bytes,
        );
        const status = /^HTTP\/1\.1 ([0-9]{3})/.exec(answer)?.[1];
        assert.notEqual(status, "500", bytes);
      }),
      getFuzzOptions(httpRuns),
    );
    assert.equal(this.served, 0);
  },
);

Then("the gateway still serves", { timeout: fuzzTimeoutMs }, async function (
  this: DaemonWorld,
): Promise<void> {
  const { failures } = this;
  assert.deepEqual(failures, []);
  const body = JSON.stringify(completion);
  assert.equal(await sendBody(this, "/v1/completions", { body }), 200);
  const headers = { authorization: `Bearer ${callerKey}` };
  const url =
    `http://${this.callerGateway?.address}/services/booking-desk/stock`;
  const { status } = await fetch(url, { headers });
  assert.equal(status, 200);
  assert.equal(this.served, 1);
});

Then(
  "messages with random faults are taken or refused, and refused all with a wrong key",
  { timeout: fuzzTimeoutMs },
  async function (this: DaemonWorld): Promise<void> {
    const messages = fc.oneof(createMutants(digest), fc.jsonValue());
    await fc.assert(
      fc.asyncProperty(messages, async (message) => {
        const body = JSON.stringify(message) ?? "";
        const status = await sendMessage(this, body, { key: peerKey });
        const isValid = peerDigestSchema.safeParse(message).success;
        assert.equal(status, isValid ? 200 : 400, body);
        assert.equal(await sendMessage(this, body, { key: "wrong" }), 401);
      }),
      getFuzzOptions(httpRuns),
    );
  },
);

Then(
  "the peer server still answers",
  { timeout: fuzzTimeoutMs },
  async function (
    this: DaemonWorld,
  ): Promise<void> {
    const client = openPeerClient(this.peerServer?.address ?? "", {
      settings: peers,
      environment: {},
    });
    assert.deepEqual(await client.exchange(digest), digest);
    await client.close();
  },
);

/** A request body and its headers. */
interface HostileBody {
  readonly body: string | Uint8Array;
  readonly headers?: Readonly<Record<string, string>>;
}

const hostileBodies: Readonly<Record<string, HostileBody>> = {
  "too large": { body: JSON.stringify("a".repeat(maxBodyBytes)) },
  "deeply nested": { body: `{"model":${"[".repeat(8_000)}` },
  "not JSON": { body: "model=contract-reader" },
  "not UTF-8": { body: Uint8Array.from([0x7b, 0xff, 0xfe, 0x7d]) },
  "empty": { body: "" },
  "a bare number": { body: "7" },
  "unknown coding": { body: "{}", headers: { "content-encoding": "zip" } },
};

function buildParser(kind: CompletionKind): GatewayHandler {
  return (request, response) => {
    parseCompletionBody(request.body, kind).caseOf({
      Left: (refusal) => sendRefusal(response, refusal),
      Right: () => void response.writeHead(200).end("{}"),
    });
  };
}

/** Sends a body and returns the status; every refusal must say "not run". */
async function sendBody(
  world: DaemonWorld,
  path: string,
  { body, headers }: HostileBody,
): Promise<number> {
  const answer = await fetch(`http://${world.callerGateway?.address}${path}`, {
    method: "POST",
    headers: { "content-type": "application/json", ...headers },
    body,
  });
  const text = await answer.text();
  if (answer.status !== 200) {
    assert.equal(answer.headers.get(outcomeHeader), "not_run", text);
    assert.equal(typeof JSON.parse(text).error.message, "string");
  }
  return answer.status;
}

async function sendMessage(
  world: DaemonWorld,
  body: string,
  { key }: { readonly key: string },
): Promise<number> {
  const answer = await fetch(`http://${world.peerServer?.address}/exchange`, {
    method: "POST",
    headers: { "content-type": "application/json", [peerKeyHeader]: key },
    body,
  });
  await answer.text();
  return answer.status;
}

/** Sends bytes as they are and returns the answer up to its headers' end. */
async function sendBytes(address: string, bytes: string): Promise<string> {
  const port = Number(address.split(":").at(-1));
  const socket = connect(port, host);
  let answer = "";
  socket.on("data", (chunk) => {
    answer += chunk.toString("latin1");
    if (answer.includes("\r\n\r\n")) socket.destroy();
  });
  socket.on("error", () => socket.destroy());
  socket.end(bytes);
  await once(socket, "close");
  return answer;
}
